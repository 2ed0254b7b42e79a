// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {

inline const Time kStart{Duration(1'000'000)};

/// @brief A sticky request for the object `key` with 2 s left until its
/// deadline.
inline PickRequest StickyRequest(const Route& route, std::uint64_t key) {
  PickRequest request;
  request.route = &route;
  request.service = "service";
  request.key = key;
  request.sticky = true;
  request.time_left = Duration(2'000'000);
  request.caller_timeout = request.time_left;
  return request;
}

/// @brief The upstream table and picker of one host, with the upstreams of two
/// regions that have one failure domain each.
class PickerFixture {
 public:
  explicit PickerFixture(int upstreams_in_region = 6,
                         const std::string& own_region = "north")
      : table_(
            std::map<std::string, std::string>{{"n", "north"}, {"s", "south"}}),
        picker_(Settings(own_region), table_) {
    route_.name = "route";
    route_.sticky = true;
    route_.target_latency = Duration(400'000);
    for (const std::string domain : {"n", "s"}) {
      for (int i = 0; i < upstreams_in_region; ++i) {
        UpstreamInfo info;
        info.id = domain + std::to_string(i);
        info.service = "service";
        info.domain = domain;
        info.slots = 3;
        table_.Put(info, kStart);
      }
    }
  }

  static PickerSettings Settings(const std::string& region) {
    PickerSettings settings;
    settings.region = region;
    settings.domain = region.substr(0, 1);
    settings.cross_region_cost_per_gigabyte = 10'000;
    return settings;
  }

  PickRequest Request(std::uint64_t key) const {
    return StickyRequest(route_, key);
  }

  Pick Choose(std::uint64_t key, Time now = kStart) {
    return picker_.Choose(Request(key), now);
  }

  UpstreamTable& table() { return table_; }
  UpstreamPicker& picker() { return picker_; }
  Route& route() { return route_; }

 private:
  UpstreamTable table_;
  UpstreamPicker picker_;
  Route route_;
};

}  // namespace pathcleat
