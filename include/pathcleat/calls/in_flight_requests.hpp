// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A caller's request under way, as its host sees it. It leaves the
/// list that it is in when it is destroyed.
/// @ingroup calls
class InFlightRequest
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// @brief The host's process ends: the caller must be told now what is
  /// known.
  virtual void OnHostShutdown() = 0;

  /// @brief When its caller must have an answer.
  virtual Time deadline() const = 0;

  /// @brief That time is over.
  virtual void OnDeadline() = 0;

  InFlightRequest() = default;
  InFlightRequest(const InFlightRequest&) = delete;
  InFlightRequest& operator=(const InFlightRequest&) = delete;
  virtual ~InFlightRequest() = default;
};

/// @brief The callers' requests under way at a host.
/// @ingroup calls
class InFlightRequests {
 public:
  void Add(InFlightRequest& request) { requests_.push_back(request); }

  /// @brief Tells each request that the host ends. Requests may leave
  /// meanwhile.
  void OnHostShutdown() {
    ForEach([](InFlightRequest& request) { request.OnHostShutdown(); });
  }

  /// @brief Ends those whose deadline was before this time. Requests may leave
  /// meanwhile.
  void EndOverdue(Time before) {
    ForEach([before](InFlightRequest& request) {
      if (request.deadline() < before) {
        request.OnDeadline();
      }
    });
  }

 private:
  using List =
      boost::intrusive::list<InFlightRequest,
                             boost::intrusive::constant_time_size<false>>;

  template <class Step>
  void ForEach(const Step& step) {
    List told;
    told.swap(requests_);
    while (!told.empty()) {
      InFlightRequest& request = told.front();
      told.pop_front();
      requests_.push_back(request);
      step(request);
    }
  }

  List requests_;
};

}  // namespace pathcleat
