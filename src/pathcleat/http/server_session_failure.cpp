// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Ends the request and the connection whose handling threw an exception.
#include "pathcleat/http/http_status.hpp"
#include "server_session.hpp"

namespace pathcleat {

// A request that the handler got may have run, also if its answer could not be
// written; one that is incomplete has not. An answer that is being written is
// completed.
void ServerSession::EndAfterFailure() {
  const auto self = shared_from_this();
  last_request_ = true;
  if (server_ == nullptr || closed_) {
    Close();
    return;
  }
  if (writing_) {
    return;
  }
  const auto exchange = exchange_;
  const bool ended = server_->Run(EntryPoint::kConnection, caller_ip_, [&] {
    if (exchange && exchange->IsOpen()) {
      exchange->Respond(
          TextResponse(http_status::kInternalError, "internal error\n"));
    } else if (!exchange && !parser_->is_done()) {
      Evict(RejectionCause::kNoMemory);
    } else {
      Close();
    }
  });
  if (!ended) {
    Close();
  }
}

}  // namespace pathcleat
