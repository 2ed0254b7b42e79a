// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/memory_budget.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace pathcleat {
namespace {

std::size_t IndexOf(MemoryUse use) {
  return static_cast<std::size_t>(use);
}

// Share of the limit up to which large leases may grow.
double LargeShareOf(MemoryUse use) {
  switch (use) {
    case MemoryUse::kConnections:
      return MemoryBudget::kLargeConnectionShare;
    case MemoryUse::kRequests:
      return MemoryBudget::kLargeRequestShare;
    case MemoryUse::kAnswers:
      return MemoryBudget::kLargeAnswerShare;
  }
  return 1;
}

}  // namespace

const char* ToString(MemoryUse use) {
  switch (use) {
    case MemoryUse::kConnections:
      return "connections";
    case MemoryUse::kRequests:
      return "requests";
    case MemoryUse::kAnswers:
      return "answers";
  }
  return "";
}

std::uint64_t MemoryBudget::used() const {
  return std::accumulate(used_.begin(), used_.end(), std::uint64_t{0});
}

std::uint64_t MemoryBudget::used(MemoryUse use) const {
  return used_[IndexOf(use)];
}

std::uint64_t MemoryBudget::MaxRequestBytes() const {
  return static_cast<std::uint64_t>(static_cast<double>(limit_) *
                                    kLargeRequestShare);
}

bool MemoryBudget::Fits(MemoryUse use,
                        std::uint64_t added_bytes,
                        std::uint64_t lease_bytes) const {
  const double share = lease_bytes > kLargeBytes ? LargeShareOf(use) : 1;
  return static_cast<double>(used() + added_bytes) <=
         static_cast<double>(limit_) * share;
}

MemoryLease* MemoryBudget::FindStalled(Leases& leases,
                                       const MemoryLease& growing,
                                       Time now) const {
  const auto found =
      std::find_if(leases.begin(), leases.end(),
                   [&growing](const MemoryLease* l) { return l != &growing; });
  const bool stalled =
      found != leases.end() && now - (*found)->progress_at_ >= kMinStall;
  return stalled ? *found : nullptr;
}

// A large lease never takes the memory of small ones.
bool MemoryBudget::MakeRoom(const MemoryLease& growing,
                            std::uint64_t lease_bytes,
                            Time now) {
  const std::uint64_t added = lease_bytes - growing.bytes_;
  while (!Fits(growing.use_, added, lease_bytes)) {
    MemoryLease* stalled = FindStalled(large_leases_, growing, now);
    if (stalled == nullptr && lease_bytes <= kLargeBytes) {
      stalled = FindStalled(small_leases_, growing, now);
    }
    if (stalled == nullptr) {
      return false;
    }
    ++reclaimed_[IndexOf(stalled->use_)];
    const std::function<void()> reclaim = std::move(stalled->reclaim_);
    stalled->ForbidReclaim();
    reclaim();
  }
  return true;
}

MemoryLease::~MemoryLease() {
  ForbidReclaim();
  if (budget_) {
    budget_->used_[IndexOf(use_)] -= bytes_;
  }
}

bool MemoryLease::Resize(std::uint64_t bytes, Time now) {
  if (budget_) {
    if (bytes > bytes_ && !budget_->MakeRoom(*this, bytes, now)) {
      ++budget_->refused_[IndexOf(use_)];
      return false;
    }
    std::uint64_t& used = budget_->used_[IndexOf(use_)];
    used = used - bytes_ + bytes;
  }
  bytes_ = bytes;
  return true;
}

std::unique_ptr<MemoryLease> MemoryLease::Split(std::uint64_t bytes) {
  auto part = std::make_unique<MemoryLease>(budget_, use_);
  part->bytes_ = std::min(bytes, bytes_);
  bytes_ -= part->bytes_;
  return part;
}

void MemoryLease::AllowReclaim(std::function<void()> reclaim,
                               std::uint64_t releases,
                               Time now) {
  if (!budget_) {
    return;
  }
  ForbidReclaim();
  reclaim_ = std::move(reclaim);
  progress_at_ = now;
  leases_ = releases > MemoryBudget::kLargeBytes ? &budget_->large_leases_
                                                 : &budget_->small_leases_;
  position_ = leases_->insert(leases_->end(), this);
}

void MemoryLease::ForbidReclaim() {
  if (position_) {
    leases_->erase(*position_);
    position_.reset();
    reclaim_ = nullptr;
  }
}

void MemoryLease::MarkProgress(Time now) {
  progress_at_ = now;
  if (position_) {
    leases_->splice(leases_->end(), *leases_, *position_);
  }
}

}  // namespace pathcleat
