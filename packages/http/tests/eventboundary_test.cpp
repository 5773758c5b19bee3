#include "bilberry/http/eventboundary.h"

#include <catch2/catch.hpp>

using bilberry::http::EventBoundary;

SCENARIO("the end of a stream is told from a stream that ends inside an event")
{
    GIVEN("streams in one piece")
    {
        struct Case
        {
            const char *stream;
            bool isAtEventEnd;
        };
        const Case cases[] = {
                {"", true},
                {"id: 1\ndata: a\n\n", true},
                {"id: 1\r\ndata: a\r\n\r\n", true},
                {"id: 1\rdata: a\r\r", true},
                {"data: a\r\n\n", true},
                {"\n", true},
                {"id: 1\ndata: a\n\nid: 2", false},
                {"id: 1\ndata: a\n", false},
                {"id: 1\r\ndata: a\r\n", false},
                {"id: 1\ndata: a", false},
        };
        for (const Case &example : cases) {
            THEN(std::string("its end is judged by its last lines: ") + example.stream)
            {
                EventBoundary whole;
                whole.append(example.stream);
                CHECK(whole.isAtEventEnd() == example.isAtEventEnd);

                EventBoundary byByte;
                for (const char byte : std::string_view(example.stream))
                    byByte.append({&byte, 1});
                CHECK(byByte.isAtEventEnd() == example.isAtEventEnd);
            }
        }
    }
}
