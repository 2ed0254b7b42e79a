// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/entry_settings.hpp"

#include <algorithm>
#include <map>

#include "json_reader.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

constexpr Bounds kRatio{0, 100};
constexpr Bounds kCount{0, 1e9};
constexpr Bounds kMegabytes{1, 1e9};
constexpr Bounds kMilliseconds{0, 3'600'000};

Duration Milliseconds(double value) {
  constexpr double kMicros = 1e3;
  return Duration(static_cast<Duration::rep>(value * kMicros));
}

Duration MillisecondsOr(JsonReader& reader,
                        const std::string& key,
                        Duration fallback) {
  return Milliseconds(
      reader.NumberOr(key, kMilliseconds, ToMilliseconds(fallback)));
}

void CheckAddress(JsonReader& reader,
                  const std::string& key,
                  const std::string& text) {
  if (!text.empty() && !ParseTcpEndpoint(text)) {
    reader.AddFault(key,
                    "expected an IP number and a port; found '" + text + "'");
  }
}

std::string AddressOr(JsonReader& reader,
                      const std::string& key,
                      const std::string& fallback) {
  std::string text = reader.TextOr(key, fallback);
  CheckAddress(reader, key, text);
  return text;
}

ListenAddresses ReadListen(JsonReader& reader) {
  ListenAddresses listen;
  listen.callers = reader.Text("callers");
  CheckAddress(reader, "callers", listen.callers);
  listen.readiness = AddressOr(reader, "readiness", "");
  listen.locate = AddressOr(reader, "locate", "");
  listen.operators = AddressOr(reader, "operators", "");
  listen.metrics = AddressOr(reader, "metrics", "");
  return listen;
}

// The bounds of rollouts are all given or all missing.
std::optional<RolloutBounds> ReadRolloutBounds(JsonReader& reader) {
  constexpr const char* kShareKey = "rollout_exposure_share";
  constexpr const char* kSlackKey = "rollout_exposure_slack";
  constexpr const char* kRollbackKey = "rollback_ms";
  constexpr Bounds kShare{0, 1};
  constexpr double kMissing = -1;
  RolloutBounds bounds;
  bounds.exposure_share = reader.NumberOr(kShareKey, kShare, kMissing);
  bounds.exposure_slack = reader.NumberOr(kSlackKey, kCount, kMissing);
  const double rollback =
      reader.NumberOr(kRollbackKey, kMilliseconds, kMissing);
  bounds.rollback = Milliseconds(rollback);
  const std::map<const char*, double> values = {
      {kShareKey, bounds.exposure_share},
      {kSlackKey, bounds.exposure_slack},
      {kRollbackKey, rollback}};
  const auto is_missing = [](const auto& value) {
    return value.second == kMissing;
  };
  if (std::all_of(values.begin(), values.end(), is_missing)) {
    return std::nullopt;
  }
  for (const auto& [key, value] : values) {
    if (value == kMissing) {
      reader.AddFault(key, "missing beside other bounds of rollouts");
    }
  }
  return bounds;
}

std::optional<Duration> ReadRevoke(JsonReader& reader) {
  constexpr double kMissing = -1;
  const double revoke = reader.NumberOr("revoke_ms", kMilliseconds, kMissing);
  return revoke == kMissing ? std::nullopt
                            : std::optional<Duration>(Milliseconds(revoke));
}

FleetBounds ReadBounds(JsonReader& reader) {
  FleetBounds bounds;
  bounds.retry_ratio =
      reader.NumberOr("retry_ratio", kRatio, bounds.retry_ratio);
  bounds.retry_slack =
      reader.NumberOr("retry_slack", kCount, bounds.retry_slack);
  bounds.cold_slack = reader.NumberOr("cold_slack", kCount, bounds.cold_slack);
  bounds.limit_window =
      MillisecondsOr(reader, "limit_window_ms", bounds.limit_window);
  bounds.limit_overage =
      reader.NumberOr("limit_overage", kRatio, bounds.limit_overage);
  bounds.limit_slack =
      reader.NumberOr("limit_slack", kCount, bounds.limit_slack);
  bounds.locate_ttl =
      MillisecondsOr(reader, "locate_ttl_ms", bounds.locate_ttl);
  bounds.stop_grace =
      MillisecondsOr(reader, "stop_grace_ms", bounds.stop_grace);
  bounds.config_apply =
      MillisecondsOr(reader, "config_apply_ms", bounds.config_apply);
  bounds.contact = MillisecondsOr(reader, "contact_ms", bounds.contact);
  bounds.revoke = ReadRevoke(reader);
  bounds.quota.window =
      MillisecondsOr(reader, "quota_window_ms", bounds.quota.window);
  bounds.quota.overage =
      reader.NumberOr("quota_overage", kRatio, bounds.quota.overage);
  bounds.quota.slack =
      reader.NumberOr("quota_slack", kCount, bounds.quota.slack);
  bounds.rollout = ReadRolloutBounds(reader);
  return bounds;
}

// A value outside the range of real links is treated as missing.
double LinkMbpsOr(JsonReader& reader, double fallback) {
  constexpr Bounds kAnyNumber{-1e300, 1e300};
  constexpr Bounds kLinkMbps{0.1, 1e6};
  const double link = reader.NumberOr("link_mbps", kAnyNumber, fallback);
  return link >= kLinkMbps.low && link <= kLinkMbps.high ? link : fallback;
}

// Processor cores that the host may use: the machine's cores times the host's
// share of them. One of the two counts as 1 if only the other is given; the
// result is 0 if both are missing.
double ReadCpuCores(JsonReader& reader) {
  constexpr Bounds kCores{0, 1'024};
  constexpr double kMissing = -1;
  const double cores = reader.NumberOr("cpu_cores", kCores, kMissing);
  const double share = reader.NumberOr("cpu_share", kCores, kMissing);
  if (cores == kMissing && share == kMissing) {
    return 0;
  }
  return (cores == kMissing ? 1 : cores) * (share == kMissing ? 1 : share);
}

TransferCosts ReadCosts(JsonReader& reader) {
  TransferCosts costs;
  costs.between_domains = reader.NumberOr("between_domains", kCount, 0);
  costs.between_regions = reader.NumberOr("between_regions", kCount, 0);
  return costs;
}

RequestLogSettings ReadRequestLog(JsonReader& reader) {
  constexpr Bounds kSample{1, 1e9};
  RequestLogSettings log;
  log.enabled = reader.Flag("requests");
  log.sample_one_of =
      reader.IntegerOr("sample_one_of", kSample, log.sample_one_of);
  log.failures_per_second =
      reader.NumberOr("failures_per_second", kCount, log.failures_per_second);
  return log;
}

std::string JoinedMechanismNames() {
  std::string names;
  for (const std::string_view name : MechanismNames()) {
    names += (names.empty() ? "" : ", ") + std::string(name);
  }
  return names;
}

PolicySwitches ReadPolicy(JsonReader& reader) {
  PolicySwitches policy;
  for (const std::string& name : reader.TextList("off")) {
    const auto mechanism = ParseMechanism(name);
    if (mechanism) {
      policy.disabled.insert(*mechanism);
    } else {
      reader.AddFault("off", "expected some of " + JoinedMechanismNames() +
                                 "; found '" + name + "'");
    }
  }
  return policy;
}

void ReadEntry(JsonReader& reader, EntrySettings& out) {
  out.host = reader.Text("host");
  out.domain = reader.Text("failure_domain");
  out.region = reader.Text("region");
  reader.ForEachObject("failure_domains", true, [&out](JsonReader& domain) {
    out.region_of_domain[domain.Text("name")] = domain.Text("region");
  });
  reader.ReadNested("listen",
                    [&out](JsonReader& r) { out.listen = ReadListen(r); });
  reader.ReadNested("peers", [&out](JsonReader& r) {
    out.peer_address = r.Text("address");
    out.peer_port = r.Port("port");
  });
  reader.ReadNested("store", [&out](JsonReader& r) {
    out.store_address = r.Text("address");
    CheckAddress(r, "address", out.store_address);
  });
  out.link_mbps = LinkMbpsOr(reader, out.link_mbps);
  out.cpu_cores = ReadCpuCores(reader);
  out.max_descriptors = static_cast<std::uint32_t>(
      reader.IntegerOr("max_descriptors", kCount, 0));
  out.memory_mb = static_cast<std::uint32_t>(reader.IntegerOr(
      "memory_mb", kMegabytes, static_cast<int>(out.memory_mb)));
  reader.ReadNested("bounds",
                    [&out](JsonReader& r) { out.bounds = ReadBounds(r); });
  reader.ReadNested("gigabyte_costs", [&out](JsonReader& r) {
    out.transfer_costs = ReadCosts(r);
  });
  reader.ReadNested(
      "log", [&out](JsonReader& r) { out.request_log = ReadRequestLog(r); });
  reader.ReadNested("policy",
                    [&out](JsonReader& r) { out.policy = ReadPolicy(r); });
  reader.ForEachObject("links", false, [&out](JsonReader& link) {
    constexpr int kFallback = 1;
    out.link_limits[link.Text("to")] =
        link.IntegerOr("max_in_flight", kCount, kFallback);
  });
  if (!out.region_of_domain.contains(out.domain)) {
    reader.AddFault("failure_domain",
                    "'" + out.domain + "' is not among failure_domains");
  }
}

}  // namespace

LoadedEntrySettings LoadEntrySettings(const std::string& path) {
  LoadedEntrySettings loaded;
  const JsonFile file = ReadJsonFile(path, loaded.faults);
  if (!file.root.is_object()) {
    if (loaded.faults.empty()) {
      loaded.faults.push_back({path, 1, "", "expected an object"});
    }
    return loaded;
  }
  JsonReader reader(file, file.root, "", loaded.faults);
  ReadEntry(reader, loaded.settings);
  reader.CheckUnknownKeys();
  return loaded;
}

}  // namespace pathcleat
