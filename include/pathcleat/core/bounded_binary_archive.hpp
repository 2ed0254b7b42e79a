// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>
#include <type_traits>

namespace pathcleat {

/// @brief Reads what cereal::PortableBinaryOutputArchive wrote, from bytes that
/// another process sent. Throws cereal::Exception where the bytes end early, a
/// size exceeds the number of bytes left, a bool is neither 0 nor 1, or a
/// floating-point number is not finite. So the memory of a decoded value is
/// bounded by the number of bytes.
/// @ingroup core
class BoundedBinaryInputArchive
    : public cereal::InputArchive<BoundedBinaryInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedBinaryInputArchive(std::string_view bytes)
      : InputArchive(this), all_bytes_(bytes.size()), bytes_(bytes) {
    bool is_little_endian = false;
    (*this)(is_little_endian);
    swaps_bytes_ = is_little_endian !=
                   (cereal::portable_binary_detail::is_little_endian() != 0);
  }

  /// @brief Reads numbers of DataSize bytes each.
  /// @param size in bytes.
  template <std::size_t DataSize>
  void ReadNumbers(void* data, std::size_t size) {
    if (size > bytes_.size()) {
      throw cereal::Exception("value is longer than the message");
    }
    if (size == 0) {
      return;
    }
    std::memcpy(data, bytes_.data(), size);
    bytes_.remove_prefix(size);
    for (std::size_t at = 0; swaps_bytes_ && at < size; at += DataSize) {
      cereal::portable_binary_detail::swap_bytes<DataSize>(
          static_cast<std::uint8_t*>(data) + at);
    }
  }

  /// @brief Number of bytes that were not read yet.
  std::size_t bytes_left() const { return bytes_.size(); }
  std::size_t bytes_read() const { return all_bytes_ - bytes_.size(); }

 private:
  std::size_t all_bytes_;
  std::string_view bytes_;
  bool swaps_bytes_ = false;
};

// cereal finds the functions below by argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
template <class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> load(
    BoundedBinaryInputArchive& archive,
    Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.ReadNumbers<sizeof(byte)>(&byte, sizeof(byte));
    if (byte > 1) {
      throw cereal::Exception("bool is neither 0 nor 1");
    }
    number = byte == 1;
  } else {
    archive.ReadNumbers<sizeof(Number)>(std::addressof(number), sizeof(Number));
    if constexpr (std::is_floating_point_v<Number>) {
      if (!std::isfinite(number)) {
        throw cereal::Exception("number is not finite");
      }
    }
  }
}

template <class Value>
void load(BoundedBinaryInputArchive& archive,
          cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

// Each element takes at least one byte.
template <class Size>
void load(BoundedBinaryInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  if (tag.size > archive.bytes_left()) {
    throw cereal::Exception("more elements than bytes");
  }
}

template <class Element>
void load(BoundedBinaryInputArchive& archive,
          cereal::BinaryData<Element>& data) {
  using Number = std::remove_pointer_t<Element>;
  static_assert(!std::is_floating_point_v<Number>,
                "a number that is not finite would pass");
  archive.ReadNumbers<sizeof(Number)>(data.data,
                                      static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

}  // namespace pathcleat

namespace cereal::traits::detail {

// cereal looks up the archive that wrote the bytes, for types that it saves as
// one value, such as enumerations.
template <>
struct get_output_from_input<pathcleat::BoundedBinaryInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

}  // namespace cereal::traits::detail
