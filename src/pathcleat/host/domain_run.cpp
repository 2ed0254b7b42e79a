// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/domain_run.hpp"

#include <utility>

#include "pathcleat/host/owner_run.hpp"

namespace pathcleat {
namespace {
constexpr Duration kRetryAfterNoOwner{1'000'000};
}  // namespace

DomainRunner::DomainRunner(Shared& shared, QObject* parent)
    : QObject(parent),
      shared_(shared),
      pool_(shared.settings, this),
      relays_(shared, this) {}

RunHandlePtr DomainRunner::RunInDomain(const RunRequestPtr& request,
                                       RunCallback callback) {
  std::string reason;
  const auto owner = shared_.routes.ChooseOwner(request->service, reason);
  if (!owner) {
    callback(NotRun(
        RefusalReason::kNoOwner, kRetryAfterNoOwner,
        "no owner in failure domain of " + shared_.settings.self().name));
    return nullptr;
  }
  const ServiceIndex service = request->service;
  const std::string step =
      "owner chosen: " + shared_.settings.deployment.At(*owner).name + reason +
      "; ";
  RunCallback done = [this, owner = *owner, service, step,
                      callback = std::move(callback)](RunResult result) {
    shared_.routes.OnOwnerDone(owner, service, result.load);
    result.note = step + result.note;
    callback(std::move(result));
  };
  if (*owner == shared_.settings.seat) {
    return RunHere(request, std::move(done));
  }
  constexpr bool kAtOwner = true;
  return relays_.Run(*owner, kAtOwner, request, std::move(done));
}

RunHandlePtr DomainRunner::RunHere(const RunRequestPtr& request,
                                   RunCallback callback) {
  return RunAtOwner(shared_, pool_, this, request, std::move(callback));
}

}  // namespace pathcleat
