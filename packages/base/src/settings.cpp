#include "bilberry/base/settings.h"

#include "bilberry/base/errorcategory.h"

#include <boost/asio/ip/address.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <limits>
#include <map>
#include <optional>
#include <sstream>

namespace bilberry {

namespace {

const char *describe(int code)
{
    switch (static_cast<SettingsErrc>(code)) {
    case SettingsErrc::Unreadable:
        return "the file can't be read";
    case SettingsErrc::Malformed:
        return "the file is not valid YAML";
    case SettingsErrc::MissingKey:
        return "required key is missing";
    case SettingsErrc::UnknownKey:
        return "unknown key";
    case SettingsErrc::WrongType:
        return "the value has the wrong type";
    case SettingsErrc::OutOfRange:
        return "the value is out of range";
    case SettingsErrc::UnknownValue:
        return "unknown value";
    case SettingsErrc::DuplicateKey:
        return "the key is listed twice";
    case SettingsErrc::NotAnAddress:
        return "an IP address is expected";
    case SettingsErrc::NotAnIdentifier:
        return "not an identifier";
    case SettingsErrc::Contradiction:
        return "contradicts another key";
    }
    return "unknown settings error";
}

const ErrorCategory category("settings", describe);

constexpr char required[] = "required";
constexpr int maxSectionDepth = 8; ///< limit of the search for duplicate keys

std::string joinWords(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

template <typename T>
std::string formatValue(T value)
{
    std::ostringstream out;
    // digits10 is enough to print every limit as it is written in the source.
    out << std::setprecision(std::numeric_limits<T>::digits10) << value;
    return out.str();
}

template <typename T>
std::string formatRange(T low, T high)
{
    return formatValue(low) + " to " + formatValue(high);
}

} // namespace

std::error_code make_error_code(SettingsErrc error)
{
    return {static_cast<int>(error), category};
}

std::string SettingsFault::text() const
{
    std::string line = file + ":" + std::to_string(this->line) + ": ";
    if (!key.empty())
        line += key + ": ";
    line += make_error_code(error).message();
    if (!hint.empty())
        line += " (" + hint + ")";
    return line;
}

struct SettingsReader::State
{
    std::string file;
    YAML::Node root;
    std::map<std::string, SettingsKey> readKeys;
    std::vector<SettingsFault> faults;

    void parse(const std::string &text)
    {
        try {
            root = YAML::Load(text);
        } catch (const YAML::Exception &exception) {
            faults.push_back(
                    {SettingsErrc::Malformed, file, exception.mark.line + 1, "", exception.msg});
            return;
        }
        if (root.IsMap())
            reportDuplicates(root, "");
        else
            faults.push_back({SettingsErrc::WrongType, file, 1, "", "the file must contain a map"});
    }

    /// Reports repeated keys: yaml-cpp keeps both entries, and a look-up returns the first one.
    /// An alias can make a map contain itself, so the recursion depth is limited.
    void reportDuplicates(const YAML::Node &map, const std::string &prefix, int depth = 0)
    {
        if (depth == maxSectionDepth)
            return;
        std::set<std::string> seen;
        for (const auto &entry : map) {
            const std::string path = prefix + entry.first.as<std::string>("");
            if (!seen.insert(path).second)
                faults.push_back(
                        {SettingsErrc::DuplicateKey, file, entry.first.Mark().line + 1, path, ""});
            if (entry.second.IsMap())
                reportDuplicates(entry.second, path + ".", depth + 1);
        }
    }

    /// Records the description of a key; later descriptions of the same key are ignored.
    void describeKey(const std::string &key, const std::string &range, const std::string &fallback)
    {
        readKeys.emplace(key, SettingsKey{key, range, fallback});
    }

    /// Looks up a dotted path. Assigning a YAML::Node changes the node that it refers to, so that
    /// reset() is used to step down.
    /// @return the node, or std::nullopt when the key is absent
    std::optional<YAML::Node> find(const std::string &key)
    {
        if (!root.IsMap())
            return std::nullopt;
        YAML::Node node;
        node.reset(root);
        std::istringstream parts(key);
        for (std::string part; std::getline(parts, part, '.');) {
            if (!node.IsMap() || !node[part].IsDefined())
                return std::nullopt;
            node.reset(node[part]);
        }
        return node;
    }

    void addFault(SettingsErrc error, const std::string &key, const std::string &hint,
                  const std::optional<YAML::Node> &node)
    {
        // A file that can't be read or parsed gets one fault, not another one for each missing key.
        if (!root.IsMap())
            return;
        const int line = node ? node->Mark().line + 1 : sectionLine(key);
        faults.push_back({error, file, line, key, hint});
    }

    /// @return line of the innermost existing section of the key's path
    int sectionLine(const std::string &key)
    {
        const std::size_t dot = key.rfind('.');
        if (dot == std::string::npos)
            return 1;
        const auto section = find(key.substr(0, dot));
        return section ? section->Mark().line + 1 : sectionLine(key.substr(0, dot));
    }

    void requireKey(const std::string &key, const std::string &hint)
    {
        if (!find(key))
            addFault(SettingsErrc::MissingKey, key, hint, std::nullopt);
    }

    template <typename T>
    std::optional<T> scalar(const std::string &key, const char *type)
    {
        const auto node = find(key);
        if (!node)
            return std::nullopt;
        T value{};
        if (node->IsScalar() && YAML::convert<T>::decode(*node, value))
            return value;
        addFault(SettingsErrc::WrongType, key, std::string(type) + " is expected", node);
        return std::nullopt;
    }

    template <typename T>
    T numberInRange(const std::string &key, T low, T high, T fallback, const char *type)
    {
        describeKey(key, formatRange(low, high), formatValue(fallback));
        const auto value = scalar<T>(key, type);
        if (!value)
            return fallback;
        if (*value >= low && *value <= high)
            return *value;
        addFault(SettingsErrc::OutOfRange, key, formatRange(low, high), find(key));
        return fallback;
    }

    /// @return true when the path is a key that was read, or a section that contains one
    bool coversReadKey(const std::string &path) const
    {
        const auto next = readKeys.lower_bound(path);
        return next != readKeys.end()
               && (next->first == path || next->first.starts_with(path + "."));
    }

    void reportUnknown(const YAML::Node &map, const std::string &prefix)
    {
        for (const auto &entry : map) {
            const std::string path = prefix + entry.first.as<std::string>("");
            if (readKeys.contains(path))
                continue;
            if (entry.second.IsMap() && coversReadKey(path))
                reportUnknown(entry.second, path + ".");
            else
                faults.push_back(
                        {SettingsErrc::UnknownKey, file, entry.first.Mark().line + 1, path, ""});
        }
    }
};

SettingsReader::SettingsReader(const std::string &file) : m_state(std::make_unique<State>())
{
    m_state->file = file;
    std::ifstream in(file);
    // Opening a directory succeeds; only reading it fails.
    in.peek();
    if (!in.is_open() || in.bad()) {
        m_state->faults.push_back({SettingsErrc::Unreadable, file, 0, "", ""});
        return;
    }
    std::ostringstream text;
    text << in.rdbuf();
    m_state->parse(text.str());
}

SettingsReader::SettingsReader(const std::string &text, const std::string &file)
    : m_state(std::make_unique<State>())
{
    m_state->file = file;
    m_state->parse(text);
}

SettingsReader::~SettingsReader() = default;

std::string SettingsReader::text(const std::string &key)
{
    m_state->describeKey(key, "text", required);
    m_state->requireKey(key, "");
    return text(key, "");
}

std::string SettingsReader::text(const std::string &key, const std::string &fallback)
{
    m_state->describeKey(key, "text", fallback);
    return m_state->scalar<std::string>(key, "a string").value_or(fallback);
}

std::string SettingsReader::identifier(const std::string &key)
{
    m_state->describeKey(key, "identifier", required);
    std::string value = text(key);
    if (m_state->find(key) && !isIdentifier(value))
        addFault(SettingsErrc::NotAnIdentifier, key,
                 "1 to 64 characters of a-z, 0-9, dot, dash and underscore");
    return value;
}

std::string SettingsReader::address(const std::string &key)
{
    m_state->describeKey(key, "IP address", required);
    return checkedAddress(key, text(key));
}

std::string SettingsReader::address(const std::string &key, const std::string &fallback)
{
    m_state->describeKey(key, "IP address", fallback);
    return checkedAddress(key, text(key, fallback));
}

std::string SettingsReader::checkedAddress(const std::string &key, const std::string &address)
{
    if (m_state->find(key) && !isIpAddress(address))
        addFault(SettingsErrc::NotAnAddress, key, "host names are not resolved");
    return address;
}

std::uint16_t SettingsReader::port(const std::string &key)
{
    constexpr std::int64_t highest = std::numeric_limits<std::uint16_t>::max();
    m_state->describeKey(key, formatRange<std::int64_t>(1, highest), required);
    m_state->requireKey(key, formatRange<std::int64_t>(1, highest));
    return static_cast<std::uint16_t>(integer(key, 1, highest, 0));
}

std::string SettingsReader::choice(const std::string &key, const std::vector<std::string> &words)
{
    m_state->describeKey(key, joinWords(words), required);
    if (!m_state->find(key)) {
        m_state->addFault(SettingsErrc::MissingKey, key, "one of " + joinWords(words),
                          std::nullopt);
        return words.front();
    }
    return choice(key, words, words.front());
}

std::string SettingsReader::choice(const std::string &key, const std::vector<std::string> &words,
                                   const std::string &fallback)
{
    m_state->describeKey(key, joinWords(words), fallback);
    std::string word = text(key, fallback);
    if (std::find(words.begin(), words.end(), word) != words.end())
        return word;
    m_state->addFault(SettingsErrc::UnknownValue, key, "one of " + joinWords(words),
                      m_state->find(key));
    return fallback;
}

double SettingsReader::number(const std::string &key, double low, double high, double fallback)
{
    return m_state->numberInRange<double>(key, low, high, fallback, "a number");
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t low, std::int64_t high,
                                     std::int64_t fallback)
{
    return m_state->numberInRange<std::int64_t>(key, low, high, fallback, "an integer");
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t low, std::int64_t high)
{
    m_state->describeKey(key, formatRange(low, high), required);
    m_state->requireKey(key, formatRange(low, high));
    return integer(key, low, high, low);
}

bool SettingsReader::boolean(const std::string &key, bool fallback)
{
    m_state->describeKey(key, "true, false", fallback ? "true" : "false");
    return m_state->scalar<bool>(key, "true or false").value_or(fallback);
}

std::vector<std::string> SettingsReader::list(const std::string &key)
{
    m_state->describeKey(key, "list", "empty");
    const auto node = m_state->find(key);
    if (!node)
        return {};
    if (!node->IsSequence()) {
        m_state->addFault(SettingsErrc::WrongType, key, "a list is expected", node);
        return {};
    }
    std::vector<std::string> items;
    for (const YAML::Node &item : *node) {
        if (item.IsScalar())
            items.push_back(item.as<std::string>());
        else
            m_state->addFault(SettingsErrc::WrongType, key, "a list of strings is expected", item);
    }
    return items;
}

void SettingsReader::addFault(SettingsErrc error, const std::string &key, const std::string &hint)
{
    m_state->addFault(error, key, hint, m_state->find(key));
}

std::vector<SettingsKey> SettingsReader::keys() const
{
    std::vector<SettingsKey> keys;
    for (const auto &[name, key] : m_state->readKeys)
        keys.push_back(key);
    return keys;
}

std::vector<SettingsFault> SettingsReader::finish()
{
    if (m_state->root.IsMap())
        m_state->reportUnknown(m_state->root, "");
    return m_state->faults;
}

bool isIpAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

bool isIdentifier(const std::string &text)
{
    constexpr std::size_t maxLength = 64;
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maxLength
           && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace bilberry
