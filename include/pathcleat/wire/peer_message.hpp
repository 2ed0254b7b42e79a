// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pathcleat/core/request_id.hpp"
#include "pathcleat/core/run_outcome.hpp"
#include "pathcleat/net/http_message.hpp"
#include "pathcleat/steer/config_state.hpp"
#include "pathcleat/steer/refusal.hpp"
#include "pathcleat/wire/service_load.hpp"

namespace pathcleat {

/// @brief First message of the accepting end: its part of the connection's
/// session, which makes old frames worthless.
/// @ingroup wire
struct Challenge {
  std::string nonce;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

/// @brief Asks a peer to run a request in its failure domain or at itself.
/// @ingroup wire
struct RelayRequest {
  RequestId id;
  ServiceIndex service;
  std::uint16_t kind = 0;
  bool at_owner = false;  ///< not to be handed on once more
  std::int64_t time_left_us = 0;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, kind, at_owner, time_left_us, method, target, headers,
            body);
  }
};

/// @brief Answer to a RelayRequest.
/// @ingroup wire
struct RelayAnswer {
  RequestId id;
  RunOutcome outcome = RunOutcome::kUnknown;
  RefusalReason refusal = RefusalReason::kNoCapacity;  ///< for kNotRun
  std::int64_t retry_after_us = 0;
  std::int32_t status = 0;
  HttpHeaders headers;
  std::string body;
  std::string note;  ///< what the answering host did, for "why"
  ServiceLoad load;  ///< of the answering host's failure domain

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, outcome, refusal, retry_after_us, status, headers, body, note,
            load);
  }
};

/// @brief The caller of a relayed request has left.
/// @ingroup wire
struct RelayCancel {
  RequestId id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// @brief Asks for the configuration changes after a version.
/// @ingroup wire
struct ConfigPull {
  std::uint64_t after = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after);
  }
};

/// @brief Answer to a ConfigPull: changes, or a whole state where the changes
/// are no longer kept.
/// @ingroup wire
struct ConfigUpdate {
  std::vector<ConfigChange> changes;
  std::optional<ConfigState> state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(changes, state);
  }
};

/// @brief Any message on a TCP connection between hosts.
/// @ingroup wire
using PeerMessage = std::variant<Challenge,
                                 RelayRequest,
                                 RelayAnswer,
                                 RelayCancel,
                                 ConfigPull,
                                 ConfigUpdate>;

}  // namespace pathcleat
