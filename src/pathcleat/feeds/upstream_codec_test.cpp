// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/upstream_codec.hpp"

#include <limits>

#include "mutated_bytes.hpp"
#include "pathcleat/core/outside_bounds.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

UpstreamInfo ArbitraryUpstream() {
  UpstreamInfo upstream;
  upstream.id = *rc::gen::arbitrary<std::string>();
  upstream.service = *rc::gen::element<std::string>("s", "t", "");
  upstream.address = *rc::gen::element<std::string>(
      "10.1.0.35:8144", "0.0.0.0:0", "010.1.0.35:8144", "nowhere", "");
  upstream.domain = *rc::gen::element<std::string>("a", "b");
  upstream.version = *rc::gen::element<std::string>("v1", "v2");
  upstream.started_ms = *rc::gen::arbitrary<std::uint64_t>();
  upstream.slots = *rc::gen::inRange(0, 1'000'000);
  upstream.leaving = *rc::gen::arbitrary<bool>();
  upstream.cold_remaining = Duration(*rc::gen::inRange(0, 5'000'000));
  return upstream;
}

Test(upstream_codec, encoded_upstreams_are_decoded_unchanged) {
  cr_assert(Holds("decode(encode(rows)) == rows", [] {
    std::vector<UpstreamInfo> upstreams;
    const int count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      upstreams.push_back(ArbitraryUpstream());
    }
    const auto read = DecodeUpstreams(EncodeUpstreams(upstreams));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == upstreams);
  }));
}

Test(upstream_codec, any_bytes_are_decoded_or_rejected) {
  cr_assert(Holds("decoding arbitrary bytes never crashes", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto read = DecodeUpstreams(bytes);
    // RC_ASSERT evaluates both sides of an "or".
    if (read) {
      RC_ASSERT(read->size() <= bytes.size());
    }
  }));
}

// Guards against bytes of another host that end this one, or that bring values
// into its tables with which later arithmetic overflows.
Test(upstream_codec, mutated_bytes_give_values_in_range_or_are_rejected) {
  cr_assert(Holds(
      "0 <= slots, 0 <= cold <= a day",
      [] {
        const std::vector<UpstreamInfo> upstreams = {ArbitraryUpstream(),
                                                     ArbitraryUpstream()};
        const auto bytes = MutatedBytes(EncodeUpstreams(upstreams));
        const auto read = DecodeUpstreams(bytes).value_or(upstreams);
        RC_ASSERT(read.size() <= bytes.size() + upstreams.size());
        for (const UpstreamInfo& upstream : read) {
          RC_ASSERT(upstream.slots >= 0);
          RC_ASSERT(upstream.slots <= kMaxOutsideCount);
          RC_ASSERT(IsInOutsideRange(upstream.cold_remaining));
        }
      },
      2'000));
}

// Guards against one upstream with an odd number that keeps the whole list from
// the other hosts, or whose slots are negative there.
Test(upstream_codec, numbers_too_large_are_clamped) {
  UpstreamInfo upstream;
  upstream.address = "10.1.0.35:8144";
  upstream.slots = std::numeric_limits<int>::max();
  upstream.cold_remaining = Duration::max();
  const auto large = DecodeUpstreams(EncodeUpstreams({upstream}));
  cr_assert(large.has_value());
  cr_assert_eq(large->front().slots, kMaxOutsideCount);
  cr_assert(large->front().cold_remaining == kMaxOutsideDuration);
  upstream.slots = -1;
  const auto negative = DecodeUpstreams(EncodeUpstreams({upstream}));
  cr_assert(negative.has_value());
  cr_assert_eq(negative->front().slots, 0);
}

// Guards against an address that another host did not write: its low bits would
// make the address of another upstream.
Test(upstream_codec, address_or_number_beyond_its_size_is_rejected) {
  const std::string tail("\0\0\0\0\0\0", 6);
  const std::string head("\1\0\0", 3);  // one entry, no flags, no id
  const std::string ip_of_33_bits("\xff\xff\xff\xff\x1f\x01", 6);
  const std::string port_of_17_bits("\1\xff\xff\x07", 4);
  const std::string number_of_65_bits = std::string(9, '\xff') + "\2";
  cr_assert(DecodeUpstreams(head + "\1\1" + tail).has_value());
  cr_assert_not(DecodeUpstreams(head + ip_of_33_bits + tail).has_value());
  cr_assert_not(DecodeUpstreams(head + port_of_17_bits + tail).has_value());
  cr_assert_not(
      DecodeUpstreams(head + "\1" + number_of_65_bits + tail).has_value());
}

// Guards against larger entries: every byte of a large fleet's list is sent to
// every host.
Test(upstream_codec, entry_of_a_large_list_is_36_bytes_at_most) {
  constexpr std::size_t kMaxBytes = 36;
  constexpr std::size_t kCount = 10'000;
  std::vector<UpstreamInfo> upstreams;
  for (std::size_t i = 0; i < kCount; ++i) {
    UpstreamInfo upstream;
    upstream.id = "i-" + std::to_string(0x10000000 + i * 7'919);
    upstream.service = i % 8 == 0 ? "arkiv" : "resultat";
    upstream.address = "10." + std::to_string(i % 9) + "." +
                       std::to_string(i / 256) + "." + std::to_string(i % 256) +
                       ":8080";
    upstream.domain = "domain-" + std::to_string(i % 9);
    upstream.version = "v1";
    upstream.started_ms = 1'764'736'000'000 + i;
    upstream.slots = 8;
    upstreams.push_back(upstream);
  }
  cr_assert_leq(EncodeUpstreams(upstreams).size(), kMaxBytes * kCount);
}

}  // namespace
}  // namespace pathcleat
