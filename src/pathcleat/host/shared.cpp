// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/shared.hpp"

#include "pathcleat/core/time.hpp"

namespace pathcleat {
namespace {
constexpr std::size_t kTracesKept = 2'048;
}  // namespace

Shared::Shared(const HostSettings& host_settings)
    : settings(host_settings),
      incarnation(WallMicros()),
      events(settings.self().name, settings.events_kept),
      config(settings, events),
      members(settings, events),
      owner(settings, events),
      routes(settings, config, members, owner, events),
      traces(kTracesKept) {}

}  // namespace pathcleat
