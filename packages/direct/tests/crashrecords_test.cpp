#include "crashes/crashrecords.h"

#include "bilberry/decision/rendezvous.h"
#include "bilberry/store/storeerror.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>

using namespace bilberry;
using namespace bilberry::direct;
using namespace std::chrono_literals;
using std::chrono::system_clock;

namespace asio = boost::asio;

namespace {

/// A store with one collection, whose calls fail while it is down.
class RecordStore : public store::CollectionStore
{
public:
    asio::awaitable<Result<store::Snapshot>> list(std::string, Duration) override
    {
        if (isDown)
            co_return store::StoreErrc::Unavailable;
        store::Snapshot snapshot;
        for (const auto &[name, value] : values)
            snapshot.items.push_back({name, value});
        co_return snapshot;
    }
    asio::awaitable<Result<store::Changes>> watch(std::string, StoreRevision, Duration,
                                                  Duration) override
    {
        co_return store::StoreErrc::Unavailable;
    }
    asio::awaitable<Status> put(std::string, store::Item item, Duration) override
    {
        if (isDown)
            co_return store::StoreErrc::Unavailable;
        values[item.name] = item.value;
        ++writes;
        co_return success();
    }
    asio::awaitable<Status> remove(std::string, std::string name, Duration) override
    {
        if (isDown)
            co_return store::StoreErrc::Unavailable;
        values.erase(name);
        co_return success();
    }

    std::map<std::string, std::string> values;
    bool isDown = false;
    int writes = 0;
};

const RouterId self("self");
constexpr decision::RequestFeature feature = 0xdead;

/// One router's records, and what it suspects.
struct Recorder
{
    explicit Recorder(RecordStore &recordStore)
        : records(std::make_shared<CrashRecords>(io, recordStore, "crashes", suspicion, log))
    {
        records->load();
        run(10ms);
    }

    void run(Duration duration)
    {
        io.restart();
        io.run_for(duration);
    }

    /// Lets the feature crash another server.
    void crash()
    {
        const TimePoint now = Clock::now();
        suspicion.recordCrash(++runs, {feature}, now, now);
    }

    void save(const std::vector<RouterId> &liveOthers)
    {
        records->saveChanges(self, liveOthers);
        run(10ms);
    }

    asio::io_context io;
    decision::CrashSuspicion suspicion{[] {
        decision::CrashSuspicionSettings settings;
        settings.coincidence = 0ms;
        return settings;
    }()};
    Log log{"test"};
    std::shared_ptr<CrashRecords> records;
    decision::ServerRun runs = 0;
};

/// @return two routers that come before this one in the order in which records are written
std::vector<RouterId> otherWriters(const std::string &record)
{
    std::vector<RouterId> others;
    for (int i = 0; others.size() < 2; ++i) {
        const std::string name = "r" + std::to_string(i);
        const std::vector<std::string> both{"self", name};
        if (both[decision::rendezvousOwner(record, both)] == name)
            others.emplace_back(name);
    }
    return others;
}

std::size_t crashesIn(const RecordStore &recordStore, const std::string &name)
{
    const auto found = recordStore.values.find(name);
    const auto suspect = found == recordStore.values.end()
                                 ? std::nullopt
                                 : decodeCrashRecord({name, found->second}, system_clock::now());
    return suspect ? suspect->crashes.size() : 0;
}

} // namespace

// Nobody wrote a record when both its writers were lost; each restart of the fleet forgot what
// crashes servers (BUDGET).
SCENARIO("what crashes servers is written whoever is lost")
{
    decision::CrashSuspect named;
    named.feature = feature;
    const std::string name = encodeCrashRecord(named, system_clock::now()).name;
    RecordStore recordStore;
    Recorder recorder(recordStore);
    recorder.crash();
    recorder.crash();
    GIVEN("two live routers that are to write the record")
    {
        recorder.save(otherWriters(name));
        CHECK(recordStore.writes == 0);
        WHEN("one of them is heard of no more")
        {
            recorder.save({otherWriters(name).front()});
            THEN("this router writes it, once")
            {
                CHECK(crashesIn(recordStore, name) == 2);
                recorder.save({});
                CHECK(recordStore.writes == 1);
            }
        }
    }
    GIVEN("a store that is away while more is learned")
    {
        recordStore.isDown = true;
        recorder.save({});
        recorder.crash();
        recorder.save({});
        recordStore.isDown = false;
        recorder.run(1200ms);
        THEN("it has the newest state when it is back")
        {
            CHECK(crashesIn(recordStore, name) == 3);
        }
    }
    GIVEN("a record of what has been answered since, and a store that is away")
    {
        recorder.save({});
        REQUIRE(crashesIn(recordStore, name) == 2);
        recordStore.isDown = true;
        recorder.suspicion.recordAnswer({feature}, Clock::now());
        recorder.save({});
        recordStore.isDown = false;
        recorder.run(1200ms);
        THEN("it is removed when the store is back")
        {
            CHECK(recordStore.values.empty());
        }
    }
}

SCENARIO("a router starts while the store is away, and learns of crashes meanwhile")
{
    RecordStore recordStore;
    {
        Recorder before(recordStore);
        for (int i = 0; i < 5; ++i)
            before.crash();
        before.save({});
    }
    REQUIRE(recordStore.writes == 1);
    const std::string name = recordStore.values.begin()->first;
    recordStore.isDown = true;
    Recorder starting(recordStore);
    starting.runs = 10;
    starting.crash();
    starting.crash();
    starting.save({});
    recordStore.isDown = false;
    starting.run(1200ms);
    starting.save({});
    GIVEN("the record of the process before")
    {
        THEN("it keeps its crashes, and gets the new ones")
        {
            CHECK(crashesIn(recordStore, name) == 7);
        }
    }
}

SCENARIO("a record of what crashes servers is read by a router that starts later")
{
    const system_clock::time_point written(1000000h);
    decision::CrashSuspect suspect;
    suspect.feature = 0xfedcba9876543210U;
    suspect.crashes = {{0xffffffffffffffffU, 4s, false}, {7, 1500ms, true}};
    suspect.probes = 1;
    const store::Item record = encodeCrashRecord(suspect, written);
    GIVEN("a record and the same clock")
    {
        const auto read = decodeCrashRecord(record, written + 10s);
        THEN("its crashes have aged")
        {
            REQUIRE(read);
            CHECK(read->feature == suspect.feature);
            CHECK(read->probes == 1);
            REQUIRE(read->crashes.size() == 2);
            CHECK(read->crashes[0]
                  == decision::CrashSuspect::Crash{0xffffffffffffffffU, 14s, false});
            CHECK(read->crashes[1] == decision::CrashSuspect::Crash{7, 11500ms, true});
        }
    }
    GIVEN("a clock that is behind the writer's")
    {
        const auto read = decodeCrashRecord(record, written - 1h);
        THEN("the newest crash has just been, and the others keep their distance")
        {
            REQUIRE(read);
            REQUIRE(read->crashes.size() == 2);
            CHECK(read->crashes[0].age == 2500ms);
            CHECK(read->crashes[1].age == Duration::zero());
        }
    }
    GIVEN("items that are no records")
    {
        THEN("nothing is read")
        {
            for (const store::Item &item :
                 {store::Item{"no number", record.value}, store::Item{"", record.value},
                  store::Item{record.name, "not JSON"}, store::Item{record.name, "[]"},
                  store::Item{record.name, R"({"crashes":7})"},
                  store::Item{record.name, R"({"crashes":[{"run":7,"atMs":1}]})"},
                  store::Item{record.name, R"({"crashes":[{"run":"7","atMs":"1"}]})"},
                  store::Item{record.name, R"({"crashes":[{"run":"7g","atMs":1}]})"}})
                CHECK_FALSE(decodeCrashRecord(item, written));
        }
    }
}
