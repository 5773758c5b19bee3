#ifndef BILBERRY_BASE_SETTINGS_H
#define BILBERRY_BASE_SETTINGS_H

#include "bilberry/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bilberry {

/// What can be wrong with a key of a settings file.
enum class SettingsErrc {
    Unreadable = 1,
    Malformed,
    MissingKey,
    UnknownKey,
    WrongType,
    OutOfRange,
    UnknownValue,
    DuplicateKey,
    NotAnAddress,
    NotAnIdentifier,
    Contradiction,
};

std::error_code make_error_code(SettingsErrc error);

/// One fault of a settings file.
struct SettingsFault
{
    SettingsErrc error{};
    std::string file;
    int line = 0;     ///< counted from 1; 0 when unknown
    std::string key;  ///< dotted path of the key
    std::string hint; ///< what would be accepted

    /// @return one line: file:line: key: message (hint)
    std::string text() const;
    bool operator==(const SettingsFault &) const = default;
};

/// A key that a reader asked for, as the settings page lists it.
struct SettingsKey
{
    std::string key;      ///< dotted path
    std::string range;    ///< "LOW to HIGH", the words, or the type
    std::string fallback; ///< value when the key is absent; "required" when it must not be
    bool operator==(const SettingsKey &) const = default;
};

/// Reads a YAML settings file and collects every fault instead of stopping at the first.
class SettingsReader
{
public:
    /// @param file path of the file
    explicit SettingsReader(const std::string &file);
    /// @param text YAML text
    /// @param file name shown in faults
    SettingsReader(const std::string &text, const std::string &file);
    ~SettingsReader();

    /// Reads a required text.
    std::string text(const std::string &key);
    /// Reads an optional text.
    std::string text(const std::string &key, const std::string &fallback);
    /// Reads a required identifier: 1 to 64 of a-z, 0-9, dot, dash and underscore.
    std::string identifier(const std::string &key);
    /// Reads a required IP number; host names are faults.
    std::string address(const std::string &key);
    /// Reads an optional IP number.
    std::string address(const std::string &key, const std::string &fallback);
    /// Reads a required TCP or UDP port.
    /// @return the port, or 0 when it is missing or faulty
    std::uint16_t port(const std::string &key);
    /// Reads one of several words; required.
    std::string choice(const std::string &key, const std::vector<std::string> &words);
    /// Reads one of several words.
    std::string choice(const std::string &key, const std::vector<std::string> &words,
                       const std::string &fallback);
    /// Reads a number within a range, both ends included.
    double number(const std::string &key, double low, double high, double fallback);
    /// Reads a whole number within a range, both ends included.
    std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high,
                         std::int64_t fallback);
    /// Reads a required whole number within a range.
    std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high);
    bool boolean(const std::string &key, bool fallback);
    /// Reads a list of texts; absent means empty.
    std::vector<std::string> list(const std::string &key);

    /// Adds a fault found by the caller, for rules between several keys.
    void addFault(SettingsErrc error, const std::string &key, const std::string &hint);

    /// @return every key asked for so far, ordered by key
    std::vector<SettingsKey> keys() const;

    /// Reports keys that nothing asked for as unknown.
    /// @return all faults found so far
    std::vector<SettingsFault> finish();

private:
    std::string checkedAddress(const std::string &key, const std::string &address);

    struct State;
    std::unique_ptr<State> m_state;
};

/// @return true when the text is an IP number, version 4 or 6
bool isIpAddress(const std::string &text);

/// @return true when the text has 1 to 64 of a-z, 0-9, dot, dash and underscore
bool isIdentifier(const std::string &text);

} // namespace bilberry

template <>
struct std::is_error_code_enum<bilberry::SettingsErrc> : std::true_type
{
};

#endif
