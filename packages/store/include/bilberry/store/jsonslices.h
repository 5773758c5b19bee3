#ifndef BILBERRY_STORE_JSONSLICES_H
#define BILBERRY_STORE_JSONSLICES_H

#include <optional>
#include <string_view>
#include <vector>

namespace bilberry::store {

/// Finds the text of one field of a JSON object by its brackets and quotes only, so that what other
/// fields hold needs not be valid.
/// @param object text of the object
/// @param name a name without characters that JSON escapes
/// @return text of the field's value; absent when the text is no object with that field
std::optional<std::string_view> sliceField(std::string_view object, std::string_view name);

/// Finds the texts of an array's elements in the same way.
/// @param array text of the array
/// @return the elements; absent when the text is no array
std::optional<std::vector<std::string_view>> sliceElements(std::string_view array);

} // namespace bilberry::store

#endif
