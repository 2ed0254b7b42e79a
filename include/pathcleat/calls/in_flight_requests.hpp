// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A caller's request in flight at this host. The destructor removes the
/// request from the list that holds it.
/// @ingroup calls
class InFlightRequest
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// @brief Called when the process of the host is about to exit: the caller
  /// must be answered now with the outcome as far as it is known.
  virtual void OnHostShutdown() = 0;

  /// @brief The time by which the caller must have its answer.
  virtual Time deadline() const = 0;

  /// @brief Called when the deadline has passed.
  virtual void OnDeadline() = 0;

  /// @brief Whether the upstream of the request in flight may be out of reach:
  /// bytes stay unacknowledged, or it has answered nothing for far too long.
  virtual bool IsUpstreamSilent(Time now) const = 0;

  /// @brief Called when the host has become isolated from the upstreams.
  virtual void OnHostIsolated() = 0;

  InFlightRequest() = default;
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;
  virtual ~InFlightRequest() = default;
};

/// @brief The callers' requests in flight at a host.
/// @ingroup calls
class InFlightRequests {
 public:
  void Add(InFlightRequest& request) { requests_.push_back(request); }

  /// @brief Notifies each request that the host is about to exit. Requests may
  /// be removed during the call.
  void OnHostShutdown() {
    ForEach([](InFlightRequest& request) { request.OnHostShutdown(); });
  }

  /// @brief Ends the requests whose deadline is earlier than `before`. Requests
  /// may be removed during the call.
  void EndOverdue(Time before) {
    ForEach([before](InFlightRequest& request) {
      if (request.deadline() < before) {
        request.OnDeadline();
      }
    });
  }

  /// @brief Notifies each request that the host has become isolated from the
  /// upstreams. Requests may be removed during the call.
  void OnHostIsolated() {
    ForEach([](InFlightRequest& request) { request.OnHostIsolated(); });
  }

  /// @brief Whether the upstream of any request is silent.
  bool IsAnyUpstreamSilent(Time now) const {
    return std::any_of(requests_.begin(), requests_.end(),
                       [now](const InFlightRequest& request) {
                         return request.IsUpstreamSilent(now);
                       });
  }

 private:
  using List =
      boost::intrusive::list<InFlightRequest,
                             boost::intrusive::constant_time_size<false>>;

  template <class Action>
  void ForEach(const Action& action) {
    List remaining;
    remaining.swap(requests_);
    while (!remaining.empty()) {
      InFlightRequest& request = remaining.front();
      remaining.pop_front();
      requests_.push_back(request);
      action(request);
    }
  }

  List requests_;
};

}  // namespace pathcleat
