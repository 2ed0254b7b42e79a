// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/log_buffer.hpp"

#include <array>

namespace pathcleat {
namespace {

// Share of the capacity up to which lines of each class are buffered.
constexpr std::array<double, kLogClassCount> kCapacityShare = {0.5, 0.75, 1};

}  // namespace

const char* ToString(LogClass log_class) {
  switch (log_class) {
    case LogClass::kRequest:
      return "request";
    case LogClass::kFailure:
      return "failure";
    case LogClass::kState:
      return "state";
  }
  return "state";
}

void LogBuffer::Push(LogClass log_class, std::string_view line) {
  const auto index = static_cast<std::size_t>(log_class);
  const double byte_limit =
      kCapacityShare.at(index) * static_cast<double>(capacity_);
  if (static_cast<double>(size() + line.size() + 1) > byte_limit) {
    ++dropped_.at(index);
    return;
  }
  bytes_.append(line);
  bytes_.push_back('\n');
}

std::string_view LogBuffer::Front(std::size_t max_bytes) const {
  return std::string_view(bytes_).substr(written_bytes_, max_bytes);
}

void LogBuffer::Pop(std::size_t bytes) {
  written_bytes_ += bytes;
  if (IsEmpty()) {
    bytes_.clear();
    written_bytes_ = 0;
  } else if (written_bytes_ > capacity_ / 2) {
    bytes_.erase(0, written_bytes_);
    written_bytes_ = 0;
  }
}

}  // namespace pathcleat
