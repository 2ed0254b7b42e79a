// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "session_memory.hpp"

namespace pathcleat {
namespace {

// The session, its parser and its read buffer.
constexpr std::uint64_t kConnectionBytes = 12ULL * 1024;
// Fewer bytes are no progress, so that single bytes keep no request from being
// given up.
constexpr std::size_t kProgressBytes = 4UL * 1024;
// Smaller answers fit into the kernel's buffers.
constexpr std::uint64_t kMinWaitingAnswer = 16ULL * 1024;

}  // namespace

SessionMemory::SessionMemory(const MemoryBudgetPtr& budget)
    : connection_(budget, MemoryUse::kConnections),
      request_(budget, MemoryUse::kRequests),
      answer_(budget, MemoryUse::kAnswers) {}

bool SessionMemory::ReserveConnection(std::uint64_t unread_bytes) {
  const std::uint64_t bytes = kConnectionBytes + unread_bytes;
  return bytes == connection_.bytes() ||
         connection_.Resize(bytes, BootClock::now());
}

bool SessionMemory::ReserveRequest(std::uint64_t bytes) {
  return bytes == request_.bytes() || request_.Resize(bytes, BootClock::now());
}

void SessionMemory::AwaitRequest(std::size_t received,
                                 const std::function<void()>& give_up) {
  received_since_progress_ += received;
  const bool is_large = request_.bytes() > MemoryBudget::kLargeBytes;
  if (!request_.IsReclaimable() || is_request_large_ != is_large) {
    is_request_large_ = is_large;
    request_.AllowReclaim(give_up, request_.bytes(), BootClock::now());
    received_since_progress_ = 0;
  } else if (received_since_progress_ >= kProgressBytes) {
    request_.MarkProgress(BootClock::now());
    received_since_progress_ = 0;
  }
}

std::unique_ptr<MemoryLease> SessionMemory::TakeBody(std::uint64_t body_bytes) {
  request_.ForbidReclaim();
  return request_.Split(body_bytes);
}

void SessionMemory::ReleaseRequest() {
  request_.ForbidReclaim();
  request_.Resize(0, Time());
}

bool SessionMemory::ReserveAnswer(std::uint64_t own_bytes,
                                  std::uint64_t total_bytes,
                                  const std::function<void()>& give_up) {
  const Time now = BootClock::now();
  if (!answer_.Resize(own_bytes, now)) {
    return false;
  }
  sent_at_progress_ = 0;
  if (total_bytes >= kMinWaitingAnswer) {
    answer_.AllowReclaim(give_up, total_bytes, now);
  }
  return true;
}

void SessionMemory::OnAnswerProgress(std::size_t sent) {
  if (sent - sent_at_progress_ >= kProgressBytes) {
    sent_at_progress_ = sent;
    answer_.MarkProgress(BootClock::now());
  }
}

void SessionMemory::ReleaseAnswer() {
  answer_.ForbidReclaim();
  answer_.Resize(0, Time());
}

void SessionMemory::ReleaseAll() {
  ReleaseRequest();
  ReleaseAnswer();
  connection_.Resize(0, Time());
}

}  // namespace pathcleat
