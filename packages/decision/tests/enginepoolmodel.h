#ifndef BILBERRY_DECISION_TESTS_ENGINEPOOLMODEL_H
#define BILBERRY_DECISION_TESTS_ENGINEPOOLMODEL_H

#include "bilberry/decision/serverselector.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::decision::tests {

/// One kind of request of the modelled load.
struct RequestClass
{
    double perSecond = 0.0;
    std::uint32_t rootTokens = 0;    ///< first shared part, the same for all customers
    std::uint32_t roots = 1;         ///< number of different first parts
    std::uint32_t subjectTokens = 0; ///< second shared part
    std::uint32_t subjects = 1;      ///< number of different second parts
    std::uint32_t ownTokens = 0;     ///< mean size of the part that isn't shared
    std::uint32_t outputTokens = 0;
    Duration objective{}; ///< time to the first byte
};

struct PoolModelSettings
{
    int engines = 18;
    int routers = 4;
    std::vector<RequestClass> classes;
    double prefillTokensPerMs = 68.0;
    double stepMs = 3.8;              ///< shortest step of an engine
    double stepMsPerSlot = 0.023;     ///< additional step time for each running request
    std::uint32_t chunkTokens = 2048; ///< most prompt tokens that one step reads
    std::size_t slots = 64;
    std::uint64_t memoryTokens = 568000;
    Duration reportInterval = std::chrono::milliseconds(20);
    Duration reportDelay = std::chrono::milliseconds(2);
    Duration reuseWindow = std::chrono::seconds(10);
    bool sharePlacements = true; ///< routers tell each other where they sent shared prefixes
    std::uint32_t seed = 1;
};

/// What a run of the model has counted.
struct PoolModelResult
{
    std::uint64_t requests = 0;
    std::uint64_t refused = 0; ///< refused at their second try
    std::uint64_t onTime = 0;  ///< first byte within the objective
    std::uint64_t promptTokens = 0;
    std::uint64_t readTokens = 0;
    /// Shared tokens that were read although an engine had used them within the reuse window.
    std::uint64_t recomputedTokens = 0;
    std::uint64_t recomputedEvicted = 0;  ///< of these: the router expected them in the cache
    std::uint64_t recomputedUnknown = 0;  ///< of these: the router knew no server that had them
    std::uint64_t recomputedDiverted = 0; ///< of these: the router chose a server without them
};

/// Language model engines with batches, prefix caches and limited memory, in front of them routers
/// that choose by a ServerSelector each and learn of one another with a delay. Virtual time only.
class EnginePoolModel
{
public:
    explicit EnginePoolModel(PoolModelSettings settings, ServerSelectorSettings selector = {});
    ~EnginePoolModel();

    /// Plays the load for a time and returns what was counted.
    PoolModelResult play(Duration duration);

private:
    struct Request;
    struct Engine;
    struct Router;
    struct Report;

    void arrive(TimePoint now);
    void submit(const std::shared_ptr<Request> &request, TimePoint now);
    void advance(Engine &engine, TimePoint now);
    void startPrefill(Engine &engine, Request &request, TimePoint now);
    void exchangeReports(TimePoint now);
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

    PoolModelSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<std::shared_ptr<Request>> m_returning; ///< refused once, with their return times
    std::deque<Report> m_reports;
    std::unordered_map<std::uint64_t, TimePoint> m_partUsedAt; ///< by any engine
    TimePoint m_nextReportAt{};
    PoolModelResult m_result;
};

} // namespace bilberry::decision::tests

#endif
