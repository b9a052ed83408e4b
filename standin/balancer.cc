#include "balancer.h"

#include <numeric>

namespace spokesail::standin {

void balancer::set_crowd(std::vector<size_t> favoured, double share) {
  this->crowded = std::move(favoured);
  this->crowd_share = share;
}

std::vector<size_t> balancer::all_nodes() const {
  std::vector<size_t> nodes(this->out.size());
  std::iota(nodes.begin(), nodes.end(), size_t{0});
  return nodes;
}

std::vector<size_t> balancer::available(const std::vector<size_t>& from,
                                        const std::set<size_t>& tried) const {
  std::vector<size_t> found;
  for (const size_t node : from) {
    if (!this->out[node] && tried.count(node) == 0) found.push_back(node);
  }
  return found;
}

size_t balancer::choose(const std::set<size_t>& tried) {
  std::vector<size_t> nodes;
  if (tried.empty() && this->random.unit() < this->crowd_share)
    nodes = this->available(this->crowded, tried);
  if (nodes.empty()) nodes = this->available(this->all_nodes(), tried);
  if (nodes.empty()) nodes = this->all_nodes();
  return nodes[this->random.below(nodes.size())];
}

}  // namespace spokesail::standin
