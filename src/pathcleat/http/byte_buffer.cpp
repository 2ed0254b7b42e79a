// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/byte_buffer.hpp"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace pathcleat {
namespace {

constexpr std::size_t kMinCapacity = 4UL * 1024;

}  // namespace

ByteBuffer::~ByteBuffer() {
  std::free(data_);
}

ByteBuffer::ByteBuffer(ByteBuffer&& other) noexcept
    : data_(std::exchange(other.data_, nullptr)),
      size_(std::exchange(other.size_, 0)),
      capacity_(std::exchange(other.capacity_, 0)),
      expected_(std::exchange(other.expected_, std::nullopt)) {}

ByteBuffer& ByteBuffer::operator=(ByteBuffer&& other) noexcept {
  std::swap(data_, other.data_);
  std::swap(size_, other.size_);
  std::swap(capacity_, other.capacity_);
  std::swap(expected_, other.expected_);
  return *this;
}

bool ByteBuffer::Append(const void* bytes, std::size_t count) {
  if (count == 0) {
    return true;
  }
  const std::size_t needed = size_ + count;
  if (needed > capacity_) {
    const std::size_t grown =
        expected_.value_or(std::max(kMinCapacity, capacity_ * 2));
    if (!SetCapacity(std::max(needed, grown))) {
      return false;
    }
  }
  std::memcpy(data_ + size_, bytes, count);
  size_ = needed;
  return true;
}

void ByteBuffer::ShrinkToFit() {
  if (size_ > 0 && size_ < capacity_) {
    SetCapacity(size_);
  }
}

bool ByteBuffer::SetCapacity(std::size_t capacity) {
  char* const data = static_cast<char*>(std::realloc(data_, capacity));
  if (data == nullptr) {
    return false;
  }
  data_ = data;
  capacity_ = capacity;
  return true;
}

}  // namespace pathcleat
