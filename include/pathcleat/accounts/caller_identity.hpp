// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>

#include "pathcleat/accounts/account_table.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief What is wrong with the key of a request.
/// @ingroup accounts
enum class ApiKeyFault {
  kNone,
  kMissing,
  kRepeated,   ///< more than one Authorization header
  kMalformed,  ///< not a bearer key, empty, too long, or not printable ASCII
  kUnknown,    ///< no configured account has this key
};

/// @brief Stable lower-case name of a fault, as used in logs and metrics.
/// @ingroup accounts
const char* ReasonOf(ApiKeyFault fault);

/// @brief The account that a request belongs to.
/// @ingroup accounts
struct CallerIdentity {
  std::shared_ptr<const Account> account;  ///< null unless fault is kNone
  ApiKeyFault fault = ApiKeyFault::kMissing;
};

/// @brief Finds the account of a request by the bearer key in its Authorization
/// header.
/// @ingroup accounts
CallerIdentity IdentifyCaller(const HttpHeaders& headers,
                              const AccountTable& accounts,
                              const KeyedHasher& hasher);

}  // namespace pathcleat
