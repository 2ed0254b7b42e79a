// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/request_id.hpp"
#include "pathcleat/core/request_kind.hpp"
#include "pathcleat/core/run_outcome.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/net/http_message.hpp"
#include "pathcleat/steer/refusal.hpp"
#include "pathcleat/wire/service_load.hpp"

namespace pathcleat {

/// @brief One attempt of a request on its way to an upstream.
/// @ingroup host
struct RunRequest {
  RequestId id;
  ServiceIndex service;
  std::uint16_t kind_index = 0;
  RequestKind kind;
  Time deadline;  ///< on this host's clock
  HttpRequest http;
};

using RunRequestPtr = std::shared_ptr<const RunRequest>;

/// @brief How an attempt ended.
/// @ingroup host
struct RunResult {
  RunOutcome outcome = RunOutcome::kUnknown;
  HttpResponse response;  ///< for kAnswered
  Refusal refusal;        ///< for kNotRun
  std::string note;       ///< steps taken, for "why"
  ServiceLoad load;       ///< of the place that answered; slots 0: not told
};

using RunCallback = std::function<void(RunResult)>;

/// @brief A running attempt, as its starter sees it.
/// @ingroup host
class RunHandle {
 public:
  virtual ~RunHandle() = default;

  /// @brief The caller has left. Work not yet sent is taken back; repeatable
  /// work already sent is cancelled; other work runs to its end.
  virtual void Cancel() = 0;
};

using RunHandlePtr = std::shared_ptr<RunHandle>;

/// @brief The result of an attempt that certainly was not run.
/// @ingroup host
RunResult NotRun(RefusalReason reason, Duration retry_after, std::string note);

/// @brief The result of an attempt that may have run.
/// @ingroup host
RunResult MayHaveRun(std::string note);

}  // namespace pathcleat
