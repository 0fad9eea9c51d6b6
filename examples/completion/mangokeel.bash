# Completion of commands and options of the operators' client in bash:
#   source examples/completion/mangokeel.bash
_mangokeel() {
  # The client prints one candidate on each line when this variable is set.
  mapfile -t COMPREPLY < <(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null)
}
# Arguments that the client has no candidates for are completed as file names.
complete -o default -F _mangokeel mangokeel
