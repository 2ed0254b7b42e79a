// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "log_files.hpp"

#include <unistd.h>
#include <zlib.h>

#include <array>
#include <memory>
#include <sstream>

namespace pathcleat {
namespace {

struct GzipCloser {
  void operator()(gzFile_s* file) const { gzclose(file); }
};
using GzipFile = std::unique_ptr<gzFile_s, GzipCloser>;

// zlib passes bytes that are not compressed through as they are.
Result<void> ReadOne(GzipFile file, const std::string& name, MergedLog& into) {
  if (!file) {
    return Fail({ErrorCode::kInvalid, "read log", name, "cannot be opened"});
  }
  constexpr std::size_t kPiece = 64UL * 1024;
  std::vector<char> piece(kPiece);
  std::stringstream text;
  int got = 0;
  while ((got = gzread(file.get(), piece.data(), kPiece)) > 0) {
    text.write(piece.data(), got);
  }
  if (got < 0) {
    int code = 0;
    return Fail(
        {ErrorCode::kInvalid, "read log", name, gzerror(file.get(), &code)});
  }
  ReadLog(text, into);
  return {};
}

}  // namespace

Result<MergedLog> ReadLogFiles(const std::vector<std::string>& paths) {
  MergedLog log;
  if (paths.empty()) {
    BOOST_LEAF_CHECK(ReadOne(GzipFile(gzdopen(dup(STDIN_FILENO), "rb")),
                             "standard input", log));
  }
  for (const std::string& path : paths) {
    BOOST_LEAF_CHECK(ReadOne(GzipFile(gzopen(path.c_str(), "rb")), path, log));
  }
  SortByTime(log);
  return log;
}

}  // namespace pathcleat
