#include "output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

const char *toText(PlannedChange::Kind kind)
{
    switch (kind) {
    case PlannedChange::Kind::Added:
        return "added";
    case PlannedChange::Kind::Changed:
        return "changed";
    case PlannedChange::Kind::Withdrawn:
        break;
    }
    return "withdrawn";
}

void printRow(const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    std::ostringstream line;
    for (std::size_t i = 0; i < row.size(); ++i)
        line << std::left << std::setw(static_cast<int>(widths[i] + 2)) << row[i];
    std::string text = line.str();
    text.erase(text.find_last_not_of(' ') + 1);
    std::cout << text << '\n';
}

} // namespace

void print(const Table &table)
{
    std::vector<std::size_t> widths(table.headings.size());
    for (std::size_t i = 0; i < widths.size(); ++i) {
        widths[i] = table.headings[i].size();
        for (const auto &row : table.rows)
            widths[i] = std::max(widths[i], row[i].size());
    }
    printRow(table.headings, widths);
    for (const auto &row : table.rows)
        printRow(row, widths);
}

void print(const json::value &value)
{
    std::cout << json::serialize(value) << '\n';
}

void printError(const std::string &subject, const std::error_code &error)
{
    std::cerr << "bilberryctl: " << subject << ": " << error.message() << '\n';
}

json::array toJson(const std::vector<PlannedChange> &changes)
{
    json::array rows;
    for (const PlannedChange &change : changes)
        rows.push_back(json::object{{"kind", toText(change.kind)},
                                    {"subject", change.subject},
                                    {"before", change.before},
                                    {"after", change.after}});
    return rows;
}

void print(const std::vector<PlannedChange> &changes)
{
    for (const PlannedChange &change : changes) {
        std::cout << toText(change.kind) << ' ' << change.subject << '\n';
        if (!change.before.empty())
            std::cout << "  - " << change.before << '\n';
        if (!change.after.empty())
            std::cout << "  + " << change.after << '\n';
    }
}

void printFaults(bool json, const std::string &file, const std::vector<ReleaseNoteFault> &faults)
{
    json::array rows;
    for (const ReleaseNoteFault &fault : faults) {
        const std::string message = make_error_code(fault.error).message();
        if (json)
            rows.push_back(json::object{{"file", file},
                                        {"line", fault.line},
                                        {"subject", fault.subject},
                                        {"message", message}});
        else
            std::cerr << file << ':' << fault.line << ": " << fault.subject << ": " << message
                      << '\n';
    }
    if (json)
        print(json::object{{"faults", rows}});
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace bilberry::ctl
