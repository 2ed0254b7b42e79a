// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief Position of an item in the deployment's list of regions, hosts etc.
/// Each list has its own index type, so that indices cannot be mixed up.
/// @ingroup core
template <class Tag>
struct Index {
  std::uint16_t value = 0;

  auto operator<=>(const Index&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// @brief All indices of a list, for range-based loops.
/// @ingroup core
template <class IndexType>
class IndexRange {
 public:
  explicit IndexRange(std::size_t size) : size_(size) {}

  class Iterator {
   public:
    explicit Iterator(std::size_t position) : position_(position) {}
    IndexType operator*() const {
      return IndexType{static_cast<std::uint16_t>(position_)};
    }
    Iterator& operator++() {
      ++position_;
      return *this;
    }
    bool operator!=(const Iterator& other) const {
      return position_ != other.position_;
    }

   private:
    std::size_t position_;
  };

  Iterator begin() const { return Iterator(0); }    // NOLINT: for loops
  Iterator end() const { return Iterator(size_); }  // NOLINT: for loops

 private:
  std::size_t size_;
};

/// @brief Range of the indices of a list's items.
/// @ingroup core
template <class IndexType, class Items>
IndexRange<IndexType> IndicesOf(const Items& items) {
  return IndexRange<IndexType>(items.size());
}

using RegionIndex = Index<struct RegionTag>;
using DomainIndex = Index<struct DomainTag>;
using HostIndex = Index<struct HostTag>;
using ServiceIndex = Index<struct ServiceTag>;
using UpstreamIndex = Index<struct UpstreamTag>;

}  // namespace pathcleat
