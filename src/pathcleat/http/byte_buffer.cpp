// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/byte_buffer.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace pathcleat {
namespace {

// Steps in which a buffer of unknown size grows up to a size that is mapped by
// itself; many small steps would fragment the heap.
constexpr std::array<std::size_t, 3> kFirstCapacities{4UL * 1024, 32UL * 1024,
                                                      256UL * 1024};

std::size_t NextCapacity(std::size_t capacity) {
  const auto next = std::upper_bound(kFirstCapacities.begin(),
                                     kFirstCapacities.end(), capacity);
  return next == kFirstCapacities.end() ? capacity * 2 : *next;
}

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
    const std::size_t grown = expected_.value_or(NextCapacity(capacity_));
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
