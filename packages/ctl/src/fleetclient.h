#ifndef BILBERRY_CTL_FLEETCLIENT_H
#define BILBERRY_CTL_FLEETCLIENT_H

#include "bilberry/admin/adminclient.h"
#include "bilberry/store/configurationstore.h"
#include "bilberry/store/httpobjectstore.h"

#include <boost/json/object.hpp>

#include <memory>
#include <string>
#include <vector>

namespace bilberry::ctl {

/// A daemon and its answer to one call.
struct DaemonAnswer
{
    store::Vm vm;
    Result<admin::AdminResponse> response;
};

/// A daemon and its parsed answer to /v1/status.
struct DaemonStatus
{
    store::Vm vm;
    std::error_code error; ///< reason when there is no status
    boost::json::object status;

    bool answered() const { return !error; }
    /// @return revision of the configuration in force; 0 when unknown
    Revision revision() const { return number("revision"); }
    /// @return integer value of a key; 0 when absent or not a whole number
    std::uint64_t number(const char *key) const;
    /// @return string value of a key; empty when absent
    std::string text(const char *key) const;
    /// @return boolean value of a key; false when absent
    bool flag(const char *key) const;
};

/// Blocking client of the platform and of the daemons' admin servers.
class FleetClient
{
public:
    explicit FleetClient(const store::PlatformSettings &settings);

    /// Reads the accepted configuration from the platform.
    Result<store::AcceptedConfiguration> load();

    /// Writes a configuration to the platform.
    /// @param base configuration that the parts were derived from
    /// @return the accepted configuration; StoreErrc::Conflict when `base` is not the current one,
    /// StoreErrc::OutcomeUnknown when the write may have taken effect
    Result<store::AcceptedConfiguration> accept(const store::AcceptedConfiguration &base,
                                                const ConfigurationParts &parts,
                                                const std::string &requestToken);

    /// Reads the list of VMs from the platform.
    Result<std::vector<store::Vm>> vms();

    /// @param given daemons named by the operator
    /// @return `given`, or the platform's list when it is empty
    Result<std::vector<store::Vm>> daemons(const std::vector<store::Vm> &given);

    /// @param given daemons named by the operator
    /// @return the newest configuration in force at these, or the platform's accepted one when
    /// `given` is empty; StoreErrc::Unavailable when no given daemon returns one
    Result<ConfigurationPtr> currentConfiguration(const std::vector<store::Vm> &given);

    /// Requests the status of all daemons in parallel.
    /// @param timeout limit of each call
    std::vector<DaemonStatus> statusAll(const std::vector<store::Vm> &vms, Duration timeout);

    /// Calls the admin servers of all daemons in parallel.
    /// @param timeout limit of each call
    /// @return answers in the order of `vms`
    std::vector<DaemonAnswer> callAll(const std::vector<store::Vm> &vms, const std::string &path,
                                      const admin::AdminRequest &request, Duration timeout);

private:
    /// Runs the event loop until the operation has ended.
    template <typename T>
    T runBlocking(store::Awaitable<T> operation);

    boost::asio::io_context m_context{1};
    std::unique_ptr<store::ObjectStore> m_store;
    store::ConfigurationStore m_configurations;
};

} // namespace bilberry::ctl

#endif
