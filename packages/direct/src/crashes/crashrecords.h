#ifndef BILBERRY_DIRECT_CRASHRECORDS_H
#define BILBERRY_DIRECT_CRASHRECORDS_H

#include "bilberry/base/log.h"
#include "bilberry/decision/crashsuspicion.h"
#include "bilberry/model/ids.h"
#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
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

    /// Starts to read the records, and tries again until the store answers.
    void load();

    /// Starts to write what has changed since the last call. Of all routers only a few write each
    /// record.
    /// @param others the other routers
    void saveChanges(const RouterId &router, const std::vector<RouterId> &others);

private:
    static boost::asio::awaitable<void> loadRecords(std::shared_ptr<CrashRecords> self);
    static boost::asio::awaitable<void> saveRecord(std::shared_ptr<CrashRecords> self,
                                                   store::Item item);
    static boost::asio::awaitable<void> removeRecord(std::shared_ptr<CrashRecords> self,
                                                     std::string name);
    static boost::asio::awaitable<void> pause();
    void merge(const std::vector<store::Item> &items);

    boost::asio::io_context &m_io;
    store::CollectionStore &m_store;
    std::string m_collection;
    decision::CrashSuspicion &m_suspicion;
    Log &m_log;
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
