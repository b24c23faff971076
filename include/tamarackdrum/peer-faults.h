/// \file
/// Fault switches of the links to other members, for tests.

#ifndef TAMARACKDRUM_PEER_FAULTS_H
#define TAMARACKDRUM_PEER_FAULTS_H

#include <mutex>
#include <set>
#include <string>

namespace tamarackdrum {

/// Names of the members whose links are cut, each way. Thread-safe.
class PeerFaults {
public:
  void set(std::set<std::string> CutTo, std::set<std::string> CutFrom) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_cutTo = std::move(CutTo);
    m_cutFrom = std::move(CutFrom);
  }

  bool cutsTo(const std::string &Peer) const {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    return m_cutTo.contains(Peer);
  }

  bool cutsFrom(const std::string &Peer) const {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    return m_cutFrom.contains(Peer);
  }

private:
  mutable std::mutex m_mutex;
  std::set<std::string> m_cutTo;
  std::set<std::string> m_cutFrom;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_PEER_FAULTS_H
