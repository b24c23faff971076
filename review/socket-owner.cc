#include "socket-owner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spdlog/fmt/fmt.h>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace tamarackdrum::review {
namespace {

namespace fs = std::filesystem;

/// Returns the inode of the loopback socket with local port \p Port, or an
/// empty string.
std::string inodeOf(std::uint16_t Port) {
  const std::string Local = fmt::format("0100007F:{:04X}", Port);
  std::ifstream Table("/proc/net/tcp");
  for (std::string Line; std::getline(Table, Line);) {
    std::istringstream In(Line);
    // The ninth column after the local address is the inode.
    const std::vector<std::string> Columns{
        std::istream_iterator<std::string>(In), {}};
    constexpr std::size_t LocalColumn = 1;
    constexpr std::size_t InodeColumn = 9;
    if (Columns.size() > InodeColumn && Columns[LocalColumn] == Local)
      return Columns[InodeColumn];
  }
  return {};
}

bool isChild(const fs::path &Process) {
  std::ifstream In(Process / "stat");
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  std::istringstream Rest(Text.substr(std::min(Text.size(), Text.rfind(')'))));
  std::string Bracket;
  std::string State;
  pid_t Parent = 0;
  Rest >> Bracket >> State >> Parent;
  return Parent == ::getpid();
}

bool hasSocket(const fs::path &Process, const std::string &Inode) {
  const std::string Wanted = fmt::format("socket:[{}]", Inode);
  std::error_code Error; // A process or descriptor may have ended.
  for (const fs::directory_entry &Item :
       fs::directory_iterator(Process / "fd", Error))
    if (fs::read_symlink(Item.path(), Error) == Wanted)
      return true;
  return false;
}

std::string settingsOf(const fs::path &Process) {
  const std::string Name = "TAMARACKDRUM_BOOT=";
  std::ifstream In(Process / "environ");
  for (std::string Item; std::getline(In, Item, '\0');)
    if (Item.starts_with(Name))
      return Item.substr(Name.size());
  return {};
}

} // namespace

std::optional<std::string> settingsOfOwner(std::uint16_t Port) {
  const std::string Inode = inodeOf(Port);
  if (Inode.empty())
    return std::nullopt;
  std::error_code Error;
  for (const fs::directory_entry &Item :
       fs::directory_iterator("/proc", Error)) {
    const std::string Name = Item.path().filename().string();
    const bool IsProcess = std::all_of(Name.begin(), Name.end(), [](char Byte) {
      return Byte >= '0' && Byte <= '9';
    });
    if (IsProcess && isChild(Item.path()) && hasSocket(Item.path(), Inode))
      return settingsOf(Item.path());
  }
  return std::nullopt;
}

} // namespace tamarackdrum::review
