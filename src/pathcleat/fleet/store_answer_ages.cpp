// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/store_answer_ages.hpp"

#include <algorithm>
#include <chrono>

#include "pathcleat/core/fixed_number.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kEncodedBytes = 2 * sizeof(std::uint16_t);

std::uint16_t ToMilliseconds16(Duration age) {
  constexpr std::int64_t kMax = 0xfffe;
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(milliseconds, 0, kMax));
}

}  // namespace

std::uint16_t& StoreAnswerAges::MillisecondsOf(SourceTopic topic) {
  return topic == SourceTopic::kOrders ? orders_ms_ : upstreams_ms_;
}

std::uint16_t StoreAnswerAges::MillisecondsOf(SourceTopic topic) const {
  return topic == SourceTopic::kOrders ? orders_ms_ : upstreams_ms_;
}

void StoreAnswerAges::Set(SourceTopic topic, Duration age) {
  MillisecondsOf(topic) = ToMilliseconds16(age);
}

std::optional<Duration> StoreAnswerAges::Of(SourceTopic topic) const {
  const std::uint16_t age = MillisecondsOf(topic);
  if (age == kUnknown) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(age);
}

bool StoreAnswerAges::IsAnyKnown() const {
  return orders_ms_ != kUnknown || upstreams_ms_ != kUnknown;
}

void StoreAnswerAges::Advance(Duration elapsed) {
  for (const SourceTopic topic :
       {SourceTopic::kOrders, SourceTopic::kUpstreams}) {
    if (const auto age = Of(topic)) {
      Set(topic, *age + elapsed);
    }
  }
}

// An unknown age is the largest value, so the smaller value is always right.
void StoreAnswerAges::TakeYounger(const StoreAnswerAges& other) {
  orders_ms_ = std::min(orders_ms_, other.orders_ms_);
  upstreams_ms_ = std::min(upstreams_ms_, other.upstreams_ms_);
}

void StoreAnswerAges::AppendTo(std::string& bytes) const {
  AppendNumber(orders_ms_, bytes);
  AppendNumber(upstreams_ms_, bytes);
}

void StoreAnswerAges::TakeFrom(std::string_view& bytes) {
  if (bytes.size() < kEncodedBytes) {
    return;
  }
  orders_ms_ = TakeNumber<std::uint16_t>(bytes);
  upstreams_ms_ = TakeNumber<std::uint16_t>(bytes);
}

}  // namespace pathcleat
