// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_tally.hpp"

#include <optional>
#include <string_view>

namespace pathcleat {
namespace {

constexpr unsigned kPayloadBits = 7;
constexpr std::uint32_t kContinues = 1U << kPayloadBits;
constexpr std::uint32_t kPayloadMask = kContinues - 1;
constexpr unsigned kValueBits = 32;
// Maximum number of responses in one count of another host. The sums of a
// stratum must stay below the largest number of 32 bits.
constexpr std::uint32_t kMaxResponses = 1'000'000'000;

void PutVarint(std::string& bytes, std::uint32_t value) {
  for (; value >= kContinues; value >>= kPayloadBits) {
    bytes += static_cast<char>((value & kPayloadMask) | kContinues);
  }
  bytes += static_cast<char>(value);
}

// Reads integers; after the end or an invalid integer `valid` is false and all
// values are 0.
struct VarintReader {
  std::string_view bytes;
  bool valid = true;

  std::uint32_t Next() {
    std::uint32_t value = 0;
    for (unsigned shift = 0; valid && shift < kValueBits;
         shift += kPayloadBits) {
      if (bytes.empty()) {
        break;
      }
      const auto byte = static_cast<unsigned char>(bytes.front());
      bytes.remove_prefix(1);
      value |= (byte & kPayloadMask) << shift;
      if (byte < kContinues) {
        return value;
      }
    }
    valid = false;
    return 0;
  }
};

bool IsEmpty(const ResponseCounts& counts) {
  return counts.total == 0;
}
bool IsEmpty(const StratumCounts& counts) {
  return IsEmpty(counts.new_version) && IsEmpty(counts.other_versions);
}

void Put(std::string& bytes, const ResponseCounts& counts) {
  PutVarint(bytes, counts.total);
  PutVarint(bytes, counts.events);
}
void Put(std::string& bytes, const StratumCounts& counts) {
  Put(bytes, counts.new_version);
  Put(bytes, counts.other_versions);
}

void Get(VarintReader& reader, ResponseCounts& counts) {
  counts.total = reader.Next();
  counts.events = reader.Next();
  reader.valid = reader.valid && counts.total <= kMaxResponses &&
                 counts.events <= counts.total;
}
void Get(VarintReader& reader, StratumCounts& counts) {
  Get(reader, counts.new_version);
  Get(reader, counts.other_versions);
}

// The entries that are not empty: their number, then each index and counts.
template <class Entries>
void PutEntries(std::string& bytes, const Entries& entries) {
  std::uint32_t used = 0;
  for (const auto& entry : entries) {
    used += IsEmpty(entry) ? 0 : 1;
  }
  PutVarint(bytes, used);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!IsEmpty(entries.at(i))) {
      PutVarint(bytes, static_cast<std::uint32_t>(i));
      Put(bytes, entries.at(i));
    }
  }
}

template <class Entries>
void GetEntries(VarintReader& reader, Entries& entries) {
  entries = {};
  const std::uint32_t used = reader.Next();
  for (std::uint32_t i = 0; reader.valid && i < used; ++i) {
    const std::uint32_t index = reader.Next();
    if (index >= entries.size()) {
      reader.valid = false;
      return;
    }
    Get(reader, entries.at(index));
  }
}

template <class Entries>
void AddEntries(Entries& sum, const Entries& other) {
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum.at(i).Add(other.at(i));
  }
}

template <class Entries>
void MergeMaxEntries(Entries& kept, const Entries& other) {
  for (std::size_t i = 0; i < kept.size(); ++i) {
    kept.at(i).MergeMax(other.at(i));
  }
}

}  // namespace

StratumCounts RolloutTally::Total() const {
  StratumCounts total;
  for (const StratumCounts& stratum : failures) {
    total.Add(stratum);
  }
  return total;
}

void RolloutTally::AddCounts(const RolloutTally& other) {
  AddEntries(failures, other.failures);
  AddEntries(latencies, other.latencies);
  AddEntries(new_version_upstreams, other.new_version_upstreams);
}

void RolloutTally::MergeMaxCounts(const RolloutTally& other) {
  MergeMaxEntries(failures, other.failures);
  MergeMaxEntries(latencies, other.latencies);
  MergeMaxEntries(new_version_upstreams, other.new_version_upstreams);
}

std::string RolloutTally::EncodeCounts() const {
  std::string bytes;
  PutEntries(bytes, failures);
  PutEntries(bytes, latencies);
  PutEntries(bytes, new_version_upstreams);
  return bytes;
}

void RolloutTally::DecodeCounts(const std::string& bytes) {
  VarintReader reader{bytes};
  GetEntries(reader, failures);
  GetEntries(reader, latencies);
  GetEntries(reader, new_version_upstreams);
  if (!reader.valid) {
    failures = {};
    latencies = {};
    new_version_upstreams = {};
  }
}

}  // namespace pathcleat
