Feature: No entry sends what it must not send

  Background:
    Given entries that share targets over a simulated network, store and VM list

  Scenario Outline: Limits and orders hold for <entries> entries under generated faults
    Then in <examples> generated histories of <entries> entries no requirement is broken

    Examples:
      | entries | examples |
      | 2       | 40       |
      | 3       | 90       |
      | 5       | 30       |

  Scenario: Outage of the key-value service for everybody does not stop traffic to open targets
    Then for an hour without the key-value service every entry uses every open target
