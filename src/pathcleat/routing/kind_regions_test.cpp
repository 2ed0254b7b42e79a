// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Guards against one kind of request changing its regions when other traffic
// ends: once most callers stop and refused downloads are retried, the regions
// of all requests together change at once, as downloads stay in their region
// while part of the other traffic went to other regions. The shares of a kind
// depend on slots and hosts, never on demand.

#include <map>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/upstream_picker.hpp"
#include "picker_fixture.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kLargeBytes = 90'000;
constexpr int kRequests = 400;

// A region with few slots beside two with many.
class ThreeRegionFixture {
 public:
  ThreeRegionFixture()
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

  // Number of requests of one kind that each region gets, all sent at once.
  std::map<std::string, int> CountByRegion(const Route& route, Time now) {
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
  ThreeRegionFixture fixture;
  const auto pages = fixture.CountByRegion(fixture.page(), kStart);
  const auto downloads = fixture.CountByRegion(fixture.download(), kStart);
  cr_assert_eq(downloads.at("north"), kRequests);
  cr_assert_gt(pages.at("south") + pages.at("west"), kRequests / 2);
  // Pages end; downloads continue alone, also after seconds without requests.
  constexpr Duration kSecond{1'000'000};
  for (const int seconds : {1, 2, 4, 30}) {
    const Time now = kStart + seconds * kSecond;
    cr_assert(fixture.CountByRegion(fixture.download(), now) == downloads);
  }
  cr_assert(fixture.CountByRegion(fixture.page(), kStart + 31 * kSecond) ==
            pages);
}

}  // namespace
}  // namespace pathcleat
