#ifndef BILBERRY_BASE_ERRORCATEGORY_H
#define BILBERRY_BASE_ERRORCATEGORY_H

#include <string>
#include <system_error>

namespace bilberry {

/// Error category that takes its messages from a function. Each package defines one instance.
class ErrorCategory : public std::error_category
{
public:
    using Describe = const char *(*) (int);

    /// @param name short name of the category, static storage
    /// @param describe maps an error code to its message
    constexpr ErrorCategory(const char *name, Describe describe)
        : m_name(name), m_describe(describe)
    {
    }

    const char *name() const noexcept override { return m_name; }
    std::string message(int code) const override { return m_describe(code); }

private:
    const char *m_name;
    Describe m_describe;
};

} // namespace bilberry

#endif
