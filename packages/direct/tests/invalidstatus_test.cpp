#include "routerfixture.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;

// Reported by other operators: a server in trouble sent an answer with the status 000, and the
// client got it as an answer.
SCENARIO("a server answers with a status that HTTP doesn't define")
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        GIVEN("the status " + status)
        {
            ScriptedServer server(always(answer(status + " Odd", "body")));
            const RouterFixture router({&server}, acceptOldPlans);
            THEN("the caller gets a failure in its place, as the request may have run")
            {
                CHECK(router.call("/book/x").status() == 502);
                CHECK(server.requests().size() == 1);
            }
            THEN("a request that may be repeated is")
            {
                ScriptedServer sound(always(answer("200 OK", "whole")));
                const RouterFixture two({&server, &sound}, acceptOldPlans);
                // The budget allows few repetitions.
                int served = 0;
                for (int i = 0; i < 4; ++i) {
                    const int given = two.call("/read/x").status();
                    CHECK((given == 200 || given == 502));
                    served += given == 200 ? 1 : 0;
                }
                CHECK(served >= 2);
            }
        }
    }
    for (const std::string status : {"200 OK", "299 Odd", "404 Not Found", "599 Odd"}) {
        GIVEN("the status " + status)
        {
            ScriptedServer server(always(answer(status, "body")));
            const RouterFixture router({&server}, acceptOldPlans);
            THEN("it is passed on")
            {
                CHECK(router.call("/book/x").status() == std::stoi(status));
            }
        }
    }
}
