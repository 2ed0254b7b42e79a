// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>

#include "pathcleat/accounts/account_table.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief What is wrong with the key that a request carries.
/// @ingroup accounts
enum class ApiKeyFault {
  kNone,
  kMissing,
  kRepeated,   ///< more than one Authorization field
  kMalformed,  ///< of another scheme, empty, too long, or not plain ASCII
  kUnknown,    ///< no account in force holds it
};

/// @brief Stable lower-case name of a fault, as logs and metrics tell it.
/// @ingroup accounts
const char* ReasonOf(ApiKeyFault fault);

/// @brief Who calls.
/// @ingroup accounts
struct CallerIdentity {
  std::shared_ptr<const Account> account;  ///< null unless fault is kNone
  ApiKeyFault fault = ApiKeyFault::kMissing;
};

/// @brief Finds the account of a request by the bearer key in its
/// Authorization field.
/// @ingroup accounts
CallerIdentity IdentifyCaller(const HttpHeaders& headers,
                              const AccountTable& accounts,
                              const KeyedHasher& digester);

}  // namespace pathcleat
