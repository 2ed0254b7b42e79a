// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/binary_codec.hpp"

#include <sys/resource.h>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "mutated_bytes.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

struct Part {
  std::string name;
  double weight = 0;
  bool enabled = false;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT: named by cereal
    archive(name, weight, enabled);
  }
};

struct Message {
  std::vector<Part> parts;
  std::map<std::string, std::uint32_t> counts;
  std::vector<std::uint64_t> numbers;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT: named by cereal
    archive(parts, counts, numbers);
  }
};

Message ArbitraryMessage() {
  Message message;
  const int count = *rc::gen::inRange(0, 5);
  for (int i = 0; i < count; ++i) {
    message.parts.push_back({*rc::gen::arbitrary<std::string>(), i / 2.0,
                             *rc::gen::arbitrary<bool>()});
    message.counts[std::to_string(i)] = *rc::gen::arbitrary<std::uint32_t>();
    message.numbers.push_back(*rc::gen::arbitrary<std::uint64_t>());
  }
  return message;
}

Test(binary_codec, encoded_values_are_decoded_unchanged) {
  cr_assert(Holds("encode(decode(encode(value))) == encode(value)", [] {
    const std::string bytes = EncodeBinary(ArbitraryMessage());
    std::size_t used = 0;
    const auto decoded = DecodeBinary<Message>(bytes + "rest", &used);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(used == bytes.size());
    RC_ASSERT(EncodeBinary(*decoded) == bytes);
  }));
}

std::int64_t PeakMemoryBytes() {
  constexpr std::int64_t kKilobyte = 1'024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss * kKilobyte;
}

// Guards against a size from outside that makes the process allocate far more
// than the message holds.
Test(binary_codec, size_beyond_the_message_is_rejected_without_memory) {
  constexpr std::int64_t kMaxGrowthBytes = 8 << 20;
  const std::int64_t before = PeakMemoryBytes();
  for (const std::uint64_t size :
       {std::uint64_t{9}, std::uint64_t{1} << 24U, std::uint64_t{1} << 60U,
        std::numeric_limits<std::uint64_t>::max()}) {
    const std::string bytes = EncodeBinary(size) + "12345678";
    cr_assert_not(DecodeBinary<std::string>(bytes).has_value());
    cr_assert_not(DecodeBinary<std::vector<Part>>(bytes).has_value());
    cr_assert_not(DecodeBinary<std::vector<std::uint64_t>>(bytes).has_value());
  }
  cr_assert_lt(PeakMemoryBytes() - before, kMaxGrowthBytes);
}

// Guards against a number from outside that makes every sum with it useless.
Test(binary_codec, numbers_that_are_not_finite_are_rejected) {
  using Limits = std::numeric_limits<double>;
  for (const double number :
       {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity()}) {
    cr_assert_not(DecodeBinary<double>(EncodeBinary(number)).has_value());
    cr_assert_not(DecodeBinary<float>(EncodeBinary(static_cast<float>(number)))
                      .has_value());
  }
  cr_assert(DecodeBinary<double>(EncodeBinary(Limits::max())).has_value());
}

// Guards against a bool whose byte is neither 0 nor 1, which is undefined.
Test(binary_codec, bool_that_is_neither_0_nor_1_is_rejected) {
  std::string bytes = EncodeBinary(true);
  cr_assert(DecodeBinary<bool>(bytes).value_or(false));
  bytes.back() = '\2';
  cr_assert_not(DecodeBinary<bool>(bytes).has_value());
}

// Guards against bytes from outside that end the process.
Test(binary_codec, mutated_bytes_are_decoded_or_rejected) {
  cr_assert(Holds(
      "a decoded value is as long as its bytes",
      [] {
        const std::string bytes =
            MutatedBytes(EncodeBinary(ArbitraryMessage()));
        std::size_t used = 0;
        const auto decoded = DecodeBinary<Message>(bytes, &used);
        if (decoded) {
          RC_ASSERT(used <= bytes.size());
          RC_ASSERT(EncodeBinary(*decoded).size() <= used);
        }
      },
      1'000));
}

}  // namespace
}  // namespace pathcleat
