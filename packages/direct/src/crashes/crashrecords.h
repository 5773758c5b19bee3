#ifndef BILBERRY_DIRECT_CRASHRECORDS_H
#define BILBERRY_DIRECT_CRASHRECORDS_H

#include "bilberry/base/log.h"
#include "bilberry/decision/crashsuspicion.h"
#include "bilberry/model/ids.h"
#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberry::direct {

/// Keeps in the store what is refused because it crashes servers, or will be after one more crash.
/// Running routers tell each other; the store serves a fleet whose routers all restart.
class CrashRecords : public std::enable_shared_from_this<CrashRecords>
{
public:
    /// All arguments must outlive this object.
    CrashRecords(boost::asio::io_context &io, store::CollectionStore &store, std::string collection,
                 decision::CrashSuspicion &suspicion, Log &log);

    /// Starts to read the records, and tries again until the store answers. Nothing is written
    /// before, since the records may say more than this router knows.
    void load();

    /// Starts to write what has changed. Of all routers only a few write each record; the others
    /// keep the change, in case those end before they have written it.
    /// @param liveOthers the other routers that have been heard of lately
    void saveChanges(const RouterId &router, const std::vector<RouterId> &liveOthers);

private:
    /// A record that this router has not written.
    struct PendingRecord
    {
        std::optional<store::Item> item; ///< absent: the record is to be removed
        std::uint64_t change = 0;        ///< number of the newest change
        TimePoint changedAt{};
        bool isBeingWritten = false;
    };

    static boost::asio::awaitable<void> loadRecords(std::shared_ptr<CrashRecords> self);
    static boost::asio::awaitable<void> writeRecord(std::shared_ptr<CrashRecords> self,
                                                    std::string name);
    static boost::asio::awaitable<void> pause();
    void merge(const std::vector<store::Item> &items);
    void takeChanges();
    void addPending(const std::string &name, std::optional<store::Item> item);
    void startWrite(const std::string &name);

    boost::asio::io_context &m_io;
    store::CollectionStore &m_store;
    std::string m_collection;
    decision::CrashSuspicion &m_suspicion;
    Log &m_log;
    std::map<std::string, PendingRecord> m_pending; ///< by the record's name
    std::uint64_t m_lastChange = 0;
    /// For which the writers were chosen last.
    std::pair<std::vector<std::string>, std::uint64_t> m_checked;
    bool m_isLoaded = false;
};

/// @param now wall-clock time, by which routers and restarts can be compared
/// @return the record of a suspect
store::Item encodeCrashRecord(const decision::CrashSuspect &suspect,
                              std::chrono::system_clock::time_point now);

/// @return the suspect; absent when the item is no record
std::optional<decision::CrashSuspect> decodeCrashRecord(const store::Item &item,
                                                        std::chrono::system_clock::time_point now);

} // namespace bilberry::direct

#endif
