// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>

#include "pathcleat/query/log_line.hpp"

namespace pathcleat {

/// @brief Describes, from logs alone, the stages between the leaving of an
/// upstream and the arrival of a request there: when the host learnt of the
/// leaving, what kept its event loop busy, how long the request waited to be
/// sent, and by when it had arrived.
/// @param log logs of as many hosts as possible, sorted by time.
/// @param sent a line of the event request-sent.
/// @ingroup query
std::string DescribeSendStages(const MergedLog& log, const LogLine& sent);

}  // namespace pathcleat
