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

/// A daemon and what it said.
struct DaemonAnswer
{
    store::Vm vm;
    Result<admin::AdminResponse> response;
};

/// A daemon and its status.
struct DaemonStatus
{
    store::Vm vm;
    std::error_code error; ///< why there is no status
    boost::json::object status;

    bool answered() const { return !error; }
    /// @return revision in force; 0 when unknown
    Revision revision() const { return number("revision"); }
    /// @return a whole number of the status; 0 when absent
    std::uint64_t number(const char *key) const;
    /// @return a text of the status; empty when absent
    std::string text(const char *key) const;
    /// @return a truth value of the status; false when absent
    bool flag(const char *key) const;
};

/// The platform and the daemons, called one after the other; each method blocks.
class FleetClient
{
public:
    explicit FleetClient(const store::PlatformSettings &settings);

    Result<store::AcceptedConfiguration> load();
    Result<store::AcceptedConfiguration> accept(const store::AcceptedConfiguration &base,
                                                const ConfigurationParts &parts,
                                                const std::string &requestToken);
    Result<std::vector<store::Vm>> vms();

    /// @param given daemons named by the operator
    /// @return these, or the platform's list when there are none
    Result<std::vector<store::Vm>> daemons(const std::vector<store::Vm> &given);

    /// @param given daemons named by the operator
    /// @return the newest configuration in force at these, or the accepted one when there are none
    Result<ConfigurationPtr> present(const std::vector<store::Vm> &given);

    /// Asks all daemons for their status at once.
    std::vector<DaemonStatus> statusAll(const std::vector<store::Vm> &vms, Duration limit);

    /// Calls all daemons at once.
    /// @param path of the admin server
    std::vector<DaemonAnswer> callAll(const std::vector<store::Vm> &vms, const std::string &path,
                                      const admin::AdminRequest &request, Duration limit);

private:
    template <typename T>
    T wait(store::Awaitable<T> operation);

    boost::asio::io_context m_context{1};
    std::unique_ptr<store::ObjectStore> m_store;
    store::ConfigurationStore m_configurations;
};

} // namespace bilberry::ctl

#endif
