#include "demoload.h"

#include <random>

namespace bilberry::tools {

namespace {

constexpr int chunksPerStream = 10;
constexpr int minDurationMs = 50;
constexpr int maxDurationMs = 250;
constexpr auto pauseBetweenOrders = std::chrono::milliseconds(200);

} // namespace

std::string apiKey(const DemoCustomer &customer)
{
    return "key-of-" + customer.name;
}

DemoLoad::DemoLoad(const tests::Fleet &fleet, const std::vector<DemoCustomer> &customers)
    : m_fleet(fleet)
{
    std::size_t caller = 0;
    for (const DemoCustomer &customer : customers) {
        for (int i = 0; i < customer.chatCallers; ++i, ++caller)
            m_callers.emplace_back([this, customer, caller] { runChatCaller(customer, caller); });
        m_callers.emplace_back([this, customer, caller] { runOrderCaller(customer, caller); });
    }
}

DemoLoad::~DemoLoad()
{
    stop();
}

void DemoLoad::stop()
{
    m_stopping = true;
    for (std::thread &caller : m_callers) {
        if (caller.joinable())
            caller.join();
    }
}

LoadCounts DemoLoad::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

/// Sends streamed and plain requests alternately, of random duration.
void DemoLoad::runChatCaller(const DemoCustomer &customer, std::size_t caller)
{
    std::mt19937 random(static_cast<unsigned>(caller));
    std::uniform_int_distribution<int> duration(minDurationMs, maxDurationMs);
    for (std::size_t number = 0; !m_stopping; ++number) {
        tests::Call request;
        request.method = "POST";
        request.target = "/v1/chat";
        request.headers["X-Ms"] = std::to_string(duration(random));
        if (number % 2 == 0)
            request.headers["X-Chunks"] = std::to_string(chunksPerStream);
        send(customer, caller + number, request);
    }
}

/// Sends bookings and stock queries alternately.
void DemoLoad::runOrderCaller(const DemoCustomer &customer, std::size_t caller)
{
    for (std::size_t number = 0; !m_stopping; ++number) {
        tests::Call request;
        request.target = "/v1/stock";
        if (number % 2 == 0) {
            const std::string tag = "booking-" + customer.name + "-" + std::to_string(number);
            request.method = "POST";
            request.target = "/v1/bookings";
            request.headers["Idempotency-Key"] = tag;
            request.headers["X-Tag"] = tag;
            const std::lock_guard lock(m_mutex);
            m_counts.bookings.push_back(tag);
        }
        send(customer, caller + number, request);
        std::this_thread::sleep_for(pauseBetweenOrders);
    }
}

tests::Answer DemoLoad::send(const DemoCustomer &customer, std::size_t router, tests::Call request)
{
    request.headers["X-Api-Key"] = apiKey(customer);
    tests::Answer answer = m_fleet.call(router % m_fleet.routerCount(), request);
    const std::lock_guard lock(m_mutex);
    constexpr int okStatus = 200;
    if (answer.status == okStatus)
        ++m_counts.answered;
    else if (answer.status == 0)
        ++m_counts.incomplete;
    else
        ++m_counts.refused[std::to_string(answer.status) + " " + answer.outcome()];
    return answer;
}

} // namespace bilberry::tools
