#ifndef BILBERRY_BASE_RESULT_H
#define BILBERRY_BASE_RESULT_H

#include <system_error>
#include <type_traits>
#include <utility>
#include <variant>

namespace bilberry {

/// Value type of a Result that carries no value.
struct Unit
{
    bool operator==(const Unit &) const = default;
};

/// Either a value or an error code.
/// @tparam T the value's type; not std::error_code
template <typename T>
class [[nodiscard]] Result
{
public:
    Result(T value) : m_state(std::in_place_index<0>, std::move(value)) {}
    Result(std::error_code error) : m_state(std::in_place_index<1>, error) {}

    /// Converts an enumerator that is registered with std::is_error_code_enum.
    template <typename E>
    requires std::is_error_code_enum<E>::value Result(E error) : Result(std::error_code(error)) {}

    /// @return true when there is a value
    [[nodiscard]] bool ok() const { return m_state.index() == 0; }
    explicit operator bool() const { return ok(); }

    /// @return the value; requires ok()
    const T &value() const & { return std::get<0>(m_state); }
    T &&value() && { return std::get<0>(std::move(m_state)); }

    /// @return the error, or a code equal to zero when there is a value
    [[nodiscard]] std::error_code error() const
    {
        return ok() ? std::error_code() : std::get<1>(m_state);
    }

    /// @return the value, or the fallback when there is an error
    T valueOr(T fallback) const { return ok() ? value() : std::move(fallback); }

    /// Transforms the value; an error is returned unchanged.
    /// @param next function from the value to a new value
    template <typename F>
    auto map(F &&next) const -> Result<std::invoke_result_t<F, const T &>>
    {
        if (!ok())
            return error();
        return std::forward<F>(next)(value());
    }

    /// Chains a function that may fail; an error is returned unchanged.
    /// @param next function from the value to a Result
    template <typename F>
    auto andThen(F &&next) const -> std::invoke_result_t<F, const T &>
    {
        if (!ok())
            return error();
        return std::forward<F>(next)(value());
    }

    bool operator==(const Result &) const = default;

private:
    std::variant<T, std::error_code> m_state;
};

/// Success or an error code.
using Status = Result<Unit>;

inline Status success()
{
    return Unit{};
}

} // namespace bilberry

#endif
