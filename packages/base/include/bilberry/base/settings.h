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

/// Errors of a settings file or of one key in it.
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
    Contradiction, ///< the value is valid alone but conflicts with another key
};

std::error_code make_error_code(SettingsErrc error);

/// One error in a settings file, with its place.
struct SettingsFault
{
    SettingsErrc error{};
    std::string file;
    int line = 0;     ///< counted from 1; 0 when unknown
    std::string key;  ///< dotted path; empty when the whole file is meant
    std::string hint; ///< accepted values or further details; may be empty

    /// @return one line: file:line: key: message (hint)
    std::string text() const;
    bool operator==(const SettingsFault &) const = default;
};

/// Description of a key that was read, as listed on the operators' settings page.
struct SettingsKey
{
    std::string key;      ///< dotted path
    std::string range;    ///< "LOW to HIGH", the accepted words, or the type
    std::string fallback; ///< value when the key is absent; "required" when there is none
    bool operator==(const SettingsKey &) const = default;
};

/// Reads a YAML settings file and collects all errors instead of stopping at the first one. A read
/// that fails records a fault and returns the fallback or a placeholder.
class SettingsReader
{
public:
    /// @param file path of the file
    explicit SettingsReader(const std::string &file);
    /// @param text YAML text
    /// @param file name shown in faults
    SettingsReader(const std::string &text, const std::string &file);
    ~SettingsReader();

    /// Reads a required string.
    std::string text(const std::string &key);
    /// Reads an optional string.
    std::string text(const std::string &key, const std::string &fallback);
    /// Reads a required identifier; see isIdentifier().
    std::string identifier(const std::string &key);
    /// Reads a required IP address, version 4 or 6; a host name is a fault.
    std::string address(const std::string &key);
    /// Reads an optional IP address, version 4 or 6.
    std::string address(const std::string &key, const std::string &fallback);
    /// Reads a required TCP or UDP port.
    /// @return the port, or 0 when it is missing or invalid
    std::uint16_t port(const std::string &key);
    /// Reads a required string that must be one of the given words.
    /// @param words accepted values, not empty
    std::string choice(const std::string &key, const std::vector<std::string> &words);
    /// Reads an optional string that must be one of the given words.
    std::string choice(const std::string &key, const std::vector<std::string> &words,
                       const std::string &fallback);
    /// Reads an optional number in the range [low, high].
    double number(const std::string &key, double low, double high, double fallback);
    /// Reads an optional integer in the range [low, high].
    std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high,
                         std::int64_t fallback);
    /// Reads a required integer in the range [low, high].
    std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high);
    bool boolean(const std::string &key, bool fallback);
    /// Reads an optional list of strings; empty when absent.
    std::vector<std::string> list(const std::string &key);

    /// Records a fault that the caller found, such as a conflict between keys. Ignored when the
    /// file could not be read or parsed.
    void addFault(SettingsErrc error, const std::string &key, const std::string &hint);

    /// @return all keys read so far, ordered by key
    std::vector<SettingsKey> keys() const;

    /// Records a fault for each key of the file that was not read.
    /// @return all faults
    std::vector<SettingsFault> finish();

private:
    std::string checkedAddress(const std::string &key, const std::string &address);

    struct State;
    std::unique_ptr<State> m_state;
};

/// @return true when the text is an IP address, version 4 or 6
bool isIpAddress(const std::string &text);

/// @return true when the text has 1 to 64 characters of a-z, 0-9, dot, dash and underscore
bool isIdentifier(const std::string &text);

} // namespace bilberry

template <>
struct std::is_error_code_enum<bilberry::SettingsErrc> : std::true_type
{
};

#endif
