#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

constexpr int customerCount = 16;
constexpr int requestsPerCustomer = 12;

/// Size of a deployment of the users.
struct Deployment
{
    const char *name;
    std::vector<std::string> zones; ///< one router in each
    int models;
    int services;
};

const std::vector<Deployment> deployments = {
        {"Ovsena oskrba", {"a", "b", "c"}, 9, 3},
        {"Krathin", {"a", "b", "c", "d"}, 9, 4},
};

std::string keyOf(int customer)
{
    return "key-" + std::to_string(customer);
}

/// The first three customers have ten times the share of the others.
std::string releaseNote(const Deployment &deployment)
{
    std::string zoneNames;
    std::string zones;
    for (const std::string &zone : deployment.zones) {
        zones += "    " + zone + ": {}\n";
        zoneNames += (zoneNames.empty() ? "" : ", ") + zone;
    }
    std::string customers;
    for (int i = 0; i < customerCount; ++i)
        customers += "    customer-" + std::to_string(i) + ": { share: " + (i < 3 ? "10" : "1")
                     + ", keyDigests: [" + sha256Hex(keyOf(i)) + "] }\n";
    return "added:\n  zones:\n" + zones + "  customers:\n" + customers + "  pools:\n"
           + "    models: { zones: [" + zoneNames + "], coldLimit: 2, fullLimit: 8 }\n"
           + "    services: { zones: [" + zoneNames + "], coldLimit: 2, fullLimit: 8 }\n"
           + "  routes:\n"
             "    /v1/chat: { pool: models, repeatable: always }\n"
             "    /v1/stock: { pool: services }\n"
             "    /v1/bookings: { pool: services, repeatable: never }\n";
}

FleetPlan planFor(const Deployment &deployment)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = deployment.zones;
    const auto zoneOf = [&](int index) {
        return deployment.zones[static_cast<std::size_t>(index) % deployment.zones.size()];
    };
    for (int i = 0; i < deployment.models; ++i)
        plan.servers.push_back({"model-" + std::to_string(i), "models", zoneOf(i)});
    for (int i = 0; i < deployment.services; ++i)
        plan.servers.push_back({"service-" + std::to_string(i), "services", zoneOf(i)});
    plan.releaseNote = releaseNote(deployment);
    return plan;
}

/// Alternates between streamed, plain and booking requests, by number.
Call makeRequest(int customer, int number, const std::string &tag)
{
    Call request;
    request.headers = {{"X-Api-Key", keyOf(customer)}, {"X-Tag", tag}};
    switch (number % 3) {
    case 0:
        request.method = "POST";
        request.target = "/v1/chat";
        request.headers["X-Chunks"] = "10";
        request.headers["X-Ms"] = "20";
        break;
    case 1:
        request.target = "/v1/stock";
        break;
    default:
        request.method = "POST";
        request.target = "/v1/bookings";
        request.headers["Idempotency-Key"] = tag;
        request.body = "{\"pallets\":1}";
    }
    return request;
}

std::string expectedBody(const Call &request, const std::string &tag)
{
    if (!request.headers.contains("X-Chunks"))
        return tag;
    std::string body;
    for (int i = 0; i < 10; ++i)
        body += "data: " + tag + " " + std::to_string(i) + "\n\n";
    return body;
}

/// Results of all callers.
struct Results
{
    std::atomic<int> complete = 0;
    std::atomic<int> bookedOnce = 0;
    std::mutex mutex;
    std::string unexpected; ///< one line for each unexpected answer

    void addUnexpected(const std::string &tag, const Answer &answer)
    {
        const std::lock_guard lock(mutex);
        unexpected += tag + ": " + std::to_string(answer.status) + " " + answer.outcome() + "\n";
    }
};

void callAsCustomer(const Fleet &fleet, int customer, Results &results)
{
    for (int number = 0; number < requestsPerCustomer; ++number) {
        const std::string tag = std::to_string(customer) + "-" + std::to_string(number);
        const Call request = makeRequest(customer, number, tag);
        const auto router = static_cast<std::size_t>(customer + number) % fleet.routerCount();
        const Answer answer = fleet.call(router, request);
        if (answer.status == 200 && answer.body == expectedBody(request, tag))
            ++results.complete;
        else
            results.addUnexpected(tag, answer);
        if (request.headers.contains("Idempotency-Key") && fleet.runs(tag) == 1)
            ++results.bookedOnce;
    }
}

} // namespace

SCENARIO("the daemons serve a fleet of each deployment's size")
{
    for (const Deployment &deployment : deployments) {
        GIVEN(std::string("the fleet of ") + deployment.name)
        {
            Fleet fleet(planFor(deployment));
            REQUIRE(fleet.start());

            WHEN("all customers send streamed, plain and booking requests concurrently")
            {
                Results results;
                std::vector<std::thread> customers;
                for (int i = 0; i < customerCount; ++i)
                    customers.emplace_back([&, i] { callAsCustomer(fleet, i, results); });
                for (std::thread &customer : customers)
                    customer.join();

                THEN("every answer is complete, and each booking ran once")
                {
                    INFO(results.unexpected);
                    CHECK(results.complete == customerCount * requestsPerCustomer);
                    CHECK(results.bookedOnce == customerCount * requestsPerCustomer / 3);
                }
                AND_WHEN("a booking is resent to another router")
                {
                    const Answer again = fleet.call(0, makeRequest(0, 2, "0-2"));
                    THEN("it does not run again")
                    {
                        CHECK(again.status != 200);
                        CHECK(fleet.runs("0-2") == 1);
                    }
                }
            }
        }
    }
}
