#include "demomeasure.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

namespace bilberry::tools {

namespace json = boost::json;

namespace {

double sumControlBytes(const std::string &metrics)
{
    double sum = 0.0;
    std::istringstream in(metrics);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("bilberry_control_bytes_total"))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

} // namespace

Service readService(const tests::Fleet &fleet, const std::string &pool)
{
    Service service;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        boost::system::error_code error;
        const json::value status
                = json::parse(fleet.admin(fleet.routerAdminPort(i), "/v1/status"), error);
        if (error)
            continue;
        for (const json::value &row : status.at("service").as_array()) {
            if (row.at("pool").as_string() == pool)
                service[std::string(row.at("customer").as_string())]
                        += row.at("chargedMs").to_number<double>();
        }
    }
    return service;
}

Service serviceDifference(const Service &before, const Service &after)
{
    Service received = after;
    for (const auto &[customer, ms] : before)
        received[customer] -= ms;
    return received;
}

double fairnessGap(const Service &service, const std::map<std::string, double> &shares)
{
    std::vector<double> normalised;
    for (const auto &[customer, share] : shares) {
        const auto found = service.find(customer);
        normalised.push_back(found == service.end() ? 0.0 : found->second / share);
    }
    const auto [low, high] = std::minmax_element(normalised.begin(), normalised.end());
    return *high - *low;
}

BusySlots readBusySlots(tests::Fleet &fleet, const std::vector<std::string> &servers)
{
    BusySlots busy{Clock::now(), 0.0};
    for (const std::string &server : servers)
        busy.busyMs += fleet.backend(server).busyMs();
    return busy;
}

double utilisation(const BusySlots &before, const BusySlots &after, std::size_t slots)
{
    const double elapsed = toMilliseconds(after.at - before.at);
    return (after.busyMs - before.busyMs) / (elapsed * static_cast<double>(slots));
}

std::map<std::string, double> readControlBytes(const tests::Fleet &fleet)
{
    std::map<std::string, double> bytes;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        bytes["router-" + std::to_string(i)]
                = sumControlBytes(fleet.admin(fleet.routerAdminPort(i), "/metrics"));
    for (const tests::ServerPlan &server : fleet.plan().servers)
        bytes[server.name]
                = sumControlBytes(fleet.admin(fleet.agentAdminPort(server.name), "/metrics"));
    return bytes;
}

} // namespace bilberry::tools
