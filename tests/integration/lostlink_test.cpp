#include "support/faultproxy.h"
#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 2, fullLimit: 4 }\n"
           "    orders: { zones: [a], coldLimit: 2, fullLimit: 4 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n"
             "    /orders: { pool: orders }\n";
}

Call request(const std::string &target, const std::string &tag, const std::string &milliseconds)
{
    Call call;
    call.method = "POST";
    call.target = target;
    call.body = tag;
    call.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", tag}, {"X-Ms", milliseconds}};
    return call;
}

} // namespace

SCENARIO("the answer to a request whose agent was lost states its real outcome")
{
    GIVEN("a running booking and a running model request, with agents behind proxies")
    {
        FleetPlan plan;
        plan.binaries = BILBERRY_BIN;
        plan.routers = {"a"};
        plan.servers = {{"model-a", "models", "a"}, {"order-a", "orders", "a"}};
        plan.releaseNote = releaseNote();
        Fleet fleet(plan);
        TcpProxy models(fleet.agentPort("model-a"));
        TcpProxy orders(fleet.agentPort("order-a"));
        std::vector<store::Vm> vms = fleet.vms();
        for (store::Vm &vm : vms) {
            if (vm.name == "model-a")
                vm.port = models.port();
            if (vm.name == "order-a")
                vm.port = orders.port();
        }
        fleet.platform().setVms(vms);
        REQUIRE(fleet.start());

        std::future<Answer> booking = std::async(std::launch::async, [&] {
            return fleet.call(0, request("/orders/book", "booking", "1500"));
        });
        std::future<Answer> chat = std::async(std::launch::async, [&] {
            return fleet.call(0, request("/v1/chat", "chat", "1500"));
        });
        REQUIRE(eventually([&] {
            return fleet.backend("model-a").running() == 1
                   && fleet.backend("order-a").running() == 1;
        }));

        const auto checkOutcomes = [&] {
            const Answer booked = booking.get();
            CHECK(booked.status >= 500);
            CHECK(booked.outcome() == "unknown");
            CHECK(fleet.runs("booking") == 1);
            CHECK(chat.get().status == 200);
            CHECK(fleet.runs("chat") == 2);
        };

        WHEN("the links break and are restored")
        {
            for (TcpProxy *proxy : {&models, &orders})
                proxy->faults().cut = true;
            REQUIRE(eventually([&] {
                return fleet.admin(fleet.routerAdminPort(0), "/v1/status")
                               .find("\"accepting\":true")
                       == std::string::npos;
            }));
            for (TcpProxy *proxy : {&models, &orders})
                proxy->faults().cut = false;

            THEN("the booking is completed with an unknown outcome, the model request is retried")
            {
                checkOutcomes();
                REQUIRE(eventually([&] { return fleet.backend("order-a").running() == 0; }));
                CHECK(fleet.backend("order-a").completed() == 1);
                CHECK(fleet.call(0, request("/orders/book", "next", "0")).status == 200);
            }
        }
        WHEN("the links become silent towards the router without breaking")
        {
            for (TcpProxy *proxy : {&models, &orders})
                proxy->faults().muteToClient = true;
            REQUIRE(eventually([&] {
                return fleet.admin(fleet.routerAdminPort(0), "/v1/status")
                               .find("\"accepting\":true")
                       == std::string::npos;
            }));
            for (TcpProxy *proxy : {&models, &orders})
                proxy->faults().muteToClient = false;
            THEN("the outcomes are the same")
            {
                checkOutcomes();
            }
        }
        WHEN("the agents are killed and started again")
        {
            for (const char *name : {"model-a", "order-a"}) {
                fleet.agent(name).kill();
                fleet.startAgent(name);
            }
            THEN("the outcomes are the same")
            {
                checkOutcomes();
            }
        }
    }
}
