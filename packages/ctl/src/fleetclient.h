#ifndef BILBERRY_CTL_FLEETCLIENT_H
#define BILBERRY_CTL_FLEETCLIENT_H

#include "bilberry/admin/adminclient.h"
#include "bilberry/platform/configurationstore.h"
#include "bilberry/platform/httpobjectstore.h"

#include <memory>
#include <string>
#include <vector>

namespace bilberry::ctl {

/// A daemon and what it said.
struct DaemonAnswer
{
    platform::Vm vm;
    Result<admin::AdminResponse> response;
};

/// The platform and the daemons, called one after the other; each method blocks.
class FleetClient
{
public:
    explicit FleetClient(const platform::PlatformSettings &settings);

    Result<platform::AcceptedConfiguration> load();
    Result<platform::AcceptedConfiguration> accept(const platform::AcceptedConfiguration &base,
                                                   const ConfigurationParts &parts,
                                                   const std::string &requestToken);
    Result<std::vector<platform::Vm>> vms();

    /// Calls all daemons at once.
    /// @param path of the admin server
    std::vector<DaemonAnswer> callAll(const std::vector<platform::Vm> &vms, const std::string &path,
                                      const admin::AdminRequest &request, Duration limit);

private:
    template <typename T>
    T wait(platform::Awaitable<T> operation);

    boost::asio::io_context m_context{1};
    std::unique_ptr<platform::ObjectStore> m_store;
    platform::ConfigurationStore m_configurations;
};

} // namespace bilberry::ctl

#endif
