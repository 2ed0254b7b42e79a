// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/latency_reference.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Fewer latencies give a median that varies by more than the multiple by which
// a latency counts as long.
constexpr std::size_t kMinLatencies = 5;

}  // namespace

void LatencyReference::Window::Add(double latency) {
  last_.at(count_ % kSize) = latency;
  ++count_;
}

std::optional<double> LatencyReference::Window::Median() const {
  if (count_ < kMinLatencies) {
    return std::nullopt;
  }
  auto sorted = last_;
  auto* const end = sorted.data() + std::min(count_, kSize);
  auto* const middle = sorted.data() + (end - sorted.data()) / 2;
  std::nth_element(sorted.data(), middle, end);
  return *middle;
}

std::optional<double> LatencyReference::Find(std::uint64_t route,
                                             std::size_t kind) const {
  const auto own = by_route_.find({route, kind});
  if (own != by_route_.end()) {
    if (const auto median = own->second.Median()) {
      return median;
    }
  }
  const auto all = by_kind_.find(kind);
  return all == by_kind_.end() ? std::nullopt : all->second.Median();
}

void LatencyReference::Add(std::uint64_t route,
                           std::size_t kind,
                           double latency) {
  by_route_[{route, kind}].Add(latency);
  by_kind_[kind].Add(latency);
}

}  // namespace pathcleat
