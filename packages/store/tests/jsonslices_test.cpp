#include "bilberry/store/jsonslices.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bilberry::store;

// A field that can't be parsed must not keep the others from being read.
SCENARIO("fields and elements of JSON are found beside unreadable ones")
{
    GIVEN("an object with brackets, quotes and odd bytes in its strings")
    {
        const std::string object
                = "{\"a\":\"]},{\\\"\", \"b\" : [1,{\"c\":2}] ,\"x\":\"\xff\",\"d\":nonsense}";
        THEN("each field is found as it stands there")
        {
            CHECK(sliceField(object, "a") == R"("]},{\"")");
            CHECK(sliceField(object, "b") == R"([1,{"c":2}])");
            CHECK(sliceField(object, "d") == "nonsense");
            CHECK_FALSE(sliceField(object, "c"));
        }
    }
    GIVEN("arrays")
    {
        THEN("their elements are found")
        {
            CHECK(sliceElements("[]") == std::vector<std::string_view>{});
            CHECK(sliceElements(" [ 1 , [2,3] ] ") == std::vector<std::string_view>{"1", "[2,3]"});
        }
    }
    GIVEN("texts whose brackets or quotes don't match")
    {
        THEN("nothing is found")
        {
            CHECK_FALSE(sliceElements("[1,2"));
            CHECK_FALSE(sliceElements("[\"a]"));
            CHECK_FALSE(sliceElements("7"));
            CHECK_FALSE(sliceField("{", "a"));
            CHECK_FALSE(sliceField("{\"a\":[}", "a"));
            CHECK_FALSE(sliceField("{\"a\\", "a"));
        }
    }
}
