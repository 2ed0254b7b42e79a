// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// When callers of most kinds stop and refused downloads come back, the regions
// of all requests together change at one moment: downloads stay in their
// region, what else there was went to others too. No kind may change its own
// regions by that: the shares go by slots and hosts, never by how much is
// asked.

#include <map>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "picker_fixture.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kLargeBytes = 90'000;
constexpr int kRequests = 400;

// A region that is short of room beside two that are not.
class ThreeRegions {
 public:
  ThreeRegions()
      : table_({{"n", "north"}, {"s", "south"}, {"w", "west"}}),
        picker_(Settings(), table_) {
    page_.name = "page";
    download_.name = "download";
    for (Route* route : {&page_, &download_}) {
      route->sticky = true;
      route->target_latency = Duration(400'000);
    }
    for (const auto& [domain, count] :
         std::map<std::string, int>{{"n", 4}, {"s", 12}, {"w", 12}}) {
      for (int i = 0; i < count; ++i) {
        UpstreamInfo info;
        info.id = domain + std::to_string(i);
        info.service = "service";
        info.domain = domain;
        info.slots = 6;
        table_.Put(info, kStart);
      }
    }
    LearnSize();
  }

  // Regions of requests of one kind, asked at a time.
  std::map<std::string, int> Regions(const Route& route, Time now) {
    std::map<std::string, int> regions;
    for (int i = 0; i < kRequests; ++i) {
      const Pick pick =
          picker_.Choose(StickyRequest(route, MixHashes(7, i)), now);
      if (pick.upstream) {
        ++regions[pick.upstream->region];
      }
    }
    return regions;
  }

  const Route& page() const { return page_; }
  const Route& download() const { return download_; }

 private:
  static PickerSettings Settings() {
    PickerSettings settings;
    settings.region = "north";
    settings.domain = "n";
    settings.cross_region_cost_per_gigabyte = 10'000;
    return settings;
  }

  void LearnSize() {
    for (int i = 0; i < kRequests; ++i) {
      const PickRequest request = StickyRequest(download_, MixHashes(9, i));
      const Pick pick = picker_.Choose(request, kStart);
      picker_.OnAnswer(*pick.upstream, request, pick,
                       {Duration(100'000), kLargeBytes, false}, kStart);
    }
  }

  UpstreamTable table_;
  UpstreamPicker picker_;
  Route page_;
  Route download_;
};

Test(upstream_picker, kinds_keep_their_regions_when_other_traffic_ends) {
  ThreeRegions world;
  const auto pages = world.Regions(world.page(), kStart);
  const auto downloads = world.Regions(world.download(), kStart);
  cr_assert_eq(downloads.at("north"), kRequests);
  cr_assert_gt(pages.at("south") + pages.at("west"), kRequests / 2);
  // Pages end; downloads come on alone, and after seconds of silence.
  constexpr Duration kSecond{1'000'000};
  for (const int seconds : {1, 2, 4, 30}) {
    const Time now = kStart + seconds * kSecond;
    cr_assert(world.Regions(world.download(), now) == downloads);
  }
  cr_assert(world.Regions(world.page(), kStart + 31 * kSecond) == pages);
}

}  // namespace
}  // namespace pathcleat
