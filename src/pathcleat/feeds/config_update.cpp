// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_update.hpp"

#include <algorithm>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <utility>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {

// cereal finds the functions below by argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
// Numbers of a configuration are clamped as they are read: a number that the
// first host accepted must not keep the configuration from the others.
template <class Archive, class DurationType>
void SerializeDuration(Archive& archive, DurationType& duration) {
  auto count = static_cast<std::int64_t>(duration.count());
  archive(count);
  if constexpr (Archive::is_loading::value) {
    constexpr auto kMax =
        std::chrono::duration_cast<DurationType>(kMaxOutsideDuration);
    duration = DurationType(std::clamp<std::int64_t>(count, 0, kMax.count()));
  }
}

template <class Archive, class Number>
void SerializeClamped(Archive& archive, Number& number) {
  archive(number);
  if constexpr (Archive::is_loading::value) {
    number = ClampOutside(number);
  }
}

template <class Archive>
void serialize(Archive& archive, RouteSplit& split) {
  archive(split.service);
  SerializeClamped(archive, split.weight);
}

template <class Archive>
void serialize(Archive& archive, Route& route) {
  archive(route.name, route.host, route.path_prefix, route.splits,
          route.repeatable, route.large_answers, route.sticky,
          route.needs_account_key, route.priority);
  SerializeClamped(archive, route.max_attempts);
  archive(route.allowed_regions);
  SerializeDuration(archive, route.timeout);
  SerializeDuration(archive, route.target_latency);
}

template <class Archive>
void serialize(Archive& archive, ServiceInfo& service) {
  archive(service.name, service.health_path);
  SerializeClamped(archive, service.max_connections);
  SerializeClamped(archive, service.cold_per_second);
}

template <class Archive>
void serialize(Archive& archive, HttpLimits& limits) {
  archive(limits.max_header_bytes, limits.max_body_bytes);
  SerializeDuration(archive, limits.idle_timeout);
  SerializeDuration(archive, limits.read_timeout);
}

template <class Archive>
void serialize(Archive& archive, AccountLimit& limit) {
  SerializeClamped(archive, limit.per_second);
  SerializeClamped(archive, limit.burst);
}

template <class Archive>
void serialize(Archive& archive, Account& account) {
  archive(account.name, account.key_digests, account.priority, account.limit,
          account.allowed_regions);
}

template <class Archive>
void serialize(Archive& archive, RoutingConfig& config) {
  archive(config.version, config.routes, config.services, config.accounts,
          config.caller_limits);
}

template <class Archive, class Entry>
void serialize(Archive& archive, ListDeltaStep<Entry>& step) {
  archive(step.copy_from, step.copy_count, step.added);
}

template <class Archive, class Entry>
void serialize(Archive& archive, ListDelta<Entry>& delta) {
  archive(delta.steps, delta.digest);
}

template <class Archive>
void serialize(Archive& archive, ConfigUpdate& update) {
  archive(update.config, update.base_version, update.routes, update.accounts);
}
// NOLINTEND(readability-identifier-naming)

std::optional<RoutingConfig> ApplyConfigUpdate(ConfigUpdate update,
                                               const RoutingConfig* current) {
  if (update.base_version == 0) {
    return std::move(update.config);
  }
  if (current == nullptr || current->version != update.base_version) {
    return std::nullopt;
  }
  auto routes = ApplyListDelta(current->routes, update.routes.steps,
                               update.routes.digest);
  auto accounts = ApplyListDelta(current->accounts, update.accounts.steps,
                                 update.accounts.digest);
  if (!routes || !accounts) {
    return std::nullopt;
  }
  update.config.routes = std::move(*routes);
  update.config.accounts = std::move(*accounts);
  return std::move(update.config);
}

std::string EncodeConfigUpdate(const ConfigUpdate& update) {
  return EncodeBinary(update);
}

std::optional<ConfigUpdate> DecodeConfigUpdate(std::string_view bytes) {
  return DecodeBinary<ConfigUpdate>(bytes);
}

}  // namespace pathcleat
