// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pathcleat {

/// @brief Bytes of a message body while it arrives. Unlike std::string, a large
/// buffer grows in place where the C library can remap it, and reports a lack
/// of memory instead of throwing.
/// @ingroup http
class ByteBuffer {
 public:
  ByteBuffer() = default;
  ~ByteBuffer();
  ByteBuffer(ByteBuffer&& other) noexcept;
  ByteBuffer& operator=(ByteBuffer&& other) noexcept;
  ByteBuffer(const ByteBuffer&) = delete;
  ByteBuffer& operator=(const ByteBuffer&) = delete;

  /// @brief Sets the size that the buffer will have in the end, as far as
  /// known. Memory is allocated once the first bytes arrive.
  void ExpectSize(std::optional<std::uint64_t> bytes) { expected_ = bytes; }

  /// @return false if there is no memory; the buffer is unchanged then.
  [[nodiscard]] bool Append(const void* bytes, std::size_t count);

  /// @brief Gives back memory beyond the size.
  void ShrinkToFit();

  std::size_t size() const { return size_; }
  std::string_view view() const { return {data_, size_}; }

 private:
  bool SetCapacity(std::size_t capacity);

  char* data_ = nullptr;
  std::size_t size_ = 0;
  std::size_t capacity_ = 0;
  std::optional<std::uint64_t> expected_;
};

}  // namespace pathcleat
