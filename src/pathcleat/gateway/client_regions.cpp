// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/client_regions.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <utility>

namespace pathcleat {
namespace {

// Region number 0 of the table means "not assigned"; the region with index r
// has the number r + 1.
constexpr std::uint16_t kNoRegion = 0;

std::uint32_t LastAddress(const AssignClientBlock& block) {
  constexpr int kAddressBits = 32;
  const std::uint64_t size = std::uint64_t{1}
                             << (kAddressBits - block.prefix_length);
  return static_cast<std::uint32_t>(block.first_address + (size - 1));
}

}  // namespace

ClientRegions::ClientRegions(std::vector<std::string> regions)
    : regions_(std::move(regions)) {}

void ClientRegions::Assign(const std::vector<AssignClientBlock>& blocks) {
  assigned_count_ = blocks.size();
  if (blocks.empty()) {
    table_.reset();
    return;
  }
  table_.emplace(std::vector<ClientBlockRow>{});
  for (const AssignClientBlock& block : blocks) {
    const auto region =
        std::find(regions_.begin(), regions_.end(), block.region);
    if (region != regions_.end()) {
      table_->Assign(block.first_address, LastAddress(block),
                     static_cast<std::uint16_t>(region - regions_.begin() + 1));
    }
  }
  table_->Compact();
}

std::optional<std::string> ClientRegions::RegionOf(
    const std::string& address) const {
  boost::system::error_code error;
  const auto parsed = boost::asio::ip::make_address_v4(address, error);
  if (error || !table_) {
    return std::nullopt;
  }
  const std::uint16_t region_number = table_->Find(parsed.to_uint());
  if (region_number == kNoRegion) {
    return std::nullopt;
  }
  return regions_[region_number - 1];
}

}  // namespace pathcleat
