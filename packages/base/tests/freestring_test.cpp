#include "bilberry/base/freestring.h"

#include <catch2/catch.hpp>

using namespace bilberry;

SCENARIO("the memory of a large string is freed")
{
    std::string text(1'000'000, 'x');
    freeString(text);
    CHECK(text.empty());
    CHECK(text.capacity() < 100);
}
